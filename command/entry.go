package command

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/cicadadale/cicadadale/config"
	"github.com/cicadadale/cicadadale/entry"
	"github.com/cicadadale/cicadadale/machine"
	"github.com/cicadadale/cicadadale/platform"
	"github.com/cicadadale/cicadadale/schema"
	"github.com/cicadadale/cicadadale/zone"
)

// drainTimeout bounds a planned stop; it is longer than the longest usual task.
const drainTimeout = 60 * time.Second

func entryCommand() *cli.Command {
	return &cli.Command{
		Name:  "entry",
		Usage: "run the entry daemon",
		Description: "Reads a TOML settings file, serves callers by gRPC and joins the other entry VMs of its failure " +
			"domain. SIGTERM stops it gracefully.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Aliases: []string{"s"}, Required: true, Usage: "settings `FILE` (TOML)"},
		},
		Action: runEntry,
	}
}

func runEntry(ctx context.Context, c *cli.Command) error {
	settings, err := config.LoadEntry(c.String("settings"))
	if err != nil {
		return err
	}
	o, err := entryOptions(settings)
	if err != nil {
		return err
	}
	d, err := entry.New(o)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := d.Start(); err != nil {
		return err
	}
	select {
	case <-ctx.Done():
	case <-d.Lost():
		return errors.New("the other entry VMs count this process as gone; start it anew")
	}
	drain, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	d.Stop(drain)
	return nil
}

func entryOptions(s config.Entry) (entry.Options, error) {
	services, findings := schema.LoadFiles(s.Schema.Files...)
	if len(findings) > 0 {
		return entry.Options{}, findingsError(findings)
	}
	logs, err := platform.NewHTTPLog(s.Platform.Log)
	if err != nil {
		return entry.Options{}, err
	}
	list, err := platform.NewHTTPVMList(s.Platform.List)
	if err != nil {
		return entry.Options{}, err
	}
	callers, err := net.Listen("tcp", s.Listen.Callers)
	if err != nil {
		return entry.Options{}, fmt.Errorf("listen for callers: %w", err)
	}
	peers, err := net.Listen("tcp", s.Listen.Peers)
	if err != nil {
		return entry.Options{}, fmt.Errorf("listen for peers: %w", err)
	}
	return entry.Options{
		VM: machine.EntryVM{
			ID: s.VM.ID, PeerAddress: peers.Addr().String(), CallerAddress: callers.Addr().String(),
		},
		Domain: zone.DomainID(s.VM.Domain), Region: zone.RegionID(s.VM.Region), Services: services, Log: logs,
		List: list, Callers: callers, Peers: peers, Connections: s.Workers.Connections, Logger: newLogger(s.Log.Level),
	}, nil
}

func newLogger(level string) *slog.Logger {
	var l slog.Level
	if err := l.UnmarshalText([]byte(level)); err != nil {
		l = slog.LevelInfo
	}
	return slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: l}))
}
