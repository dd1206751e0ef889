package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"github.com/cicadadale/cicadadale/config"
	"github.com/cicadadale/cicadadale/entry"
	"github.com/cicadadale/cicadadale/machine"
)

// errFencedWhileStopping gives a stop that lost jobs another exit status than a graceful stop. load/process.go matches
// a part of its text in the output of the process.
var errFencedWhileStopping = errors.New(
	"the other entry VMs count this process as gone; they reported its jobs as lost before it had stopped")

func entryCommand() *cli.Command {
	return &cli.Command{
		Name:  "entry",
		Usage: "run the entry daemon",
		Description: "Reads a TOML settings file, serves callers by gRPC and joins the other entry VMs of its failure " +
			"domain. SIGTERM or SIGINT stops it gracefully: it refuses new jobs, finishes running tasks within " +
			"stop.drain_timeout and exits with status 0. Settings are described in docs/OPERATIONS.md; examples are in " +
			"examples/.\n\nExample: cicadadale entry --settings examples/entry-1.toml",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Aliases: []string{"s"}, Required: true, Usage: "settings `FILE` (TOML)"},
			&cli.BoolFlag{Name: "check", Usage: "check the settings and the files that they name, print all findings, and exit"},
		},
		Action: runEntry,
	}
}

func runEntry(ctx context.Context, c *cli.Command) error {
	path := c.String("settings")
	settings, err := config.LoadEntry(path)
	if err != nil {
		return err
	}
	logger := newFormatLogger(settings.Log.Level, settings.Log.Format)
	parts, err := readEntryParts(settings, logger)
	if err != nil {
		return err
	}
	if c.Bool("check") {
		_, err := fmt.Fprintf(c.Root().Writer, "%s: no findings\n", path)
		return err
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer stop()
	var predecessor machine.Incarnation
	for ctx.Err() == nil {
		if predecessor, err = serveEntry(ctx, parts, predecessor); err != nil {
			return err
		}
	}
	return nil
}

// serveEntry runs one incarnation until ctx is cancelled or the other entry VMs fence it, after a long pause or a
// partition. It returns the incarnation; the next one binds the same addresses.
func serveEntry(
	ctx context.Context, parts *entryParts, predecessor machine.Incarnation,
) (machine.Incarnation, error) {
	o, err := parts.options()
	if err != nil {
		return 0, err
	}
	o.VM.Incarnation, o.Predecessor = machine.NewIncarnation(), predecessor
	listen := &parts.settings.Listen
	listen.Callers, listen.Peers = o.CallerListener.Addr().String(), o.PeerListener.Addr().String()
	if o.AdminListener != nil {
		listen.Admin = o.AdminListener.Addr().String()
	}
	d, err := entry.New(o)
	if err != nil {
		return 0, err
	}
	if err := d.Start(); err != nil {
		return 0, err
	}
	select {
	case <-ctx.Done():
	case <-d.Fenced():
		d.Kill()
		return o.VM.Incarnation, nil
	}
	drain, cancel := context.WithTimeout(context.Background(), parts.settings.Stop.DrainTimeout)
	defer cancel()
	d.Stop(drain)
	select {
	case <-d.Fenced():
		return o.VM.Incarnation, errFencedWhileStopping
	default:
		return o.VM.Incarnation, nil
	}
}

// newLogger returns the text logger of the client and operator commands.
func newLogger(level string) *slog.Logger { return newFormatLogger(level, "text") }

func newFormatLogger(level, format string) *slog.Logger {
	return newLoggerTo(os.Stderr, logLevel(level), format)
}

// newLoggerTo returns a logger that writes to w.
func newLoggerTo(w io.Writer, level slog.Leveler, format string) *slog.Logger {
	o := &slog.HandlerOptions{Level: level}
	if format == "json" {
		return slog.New(slog.NewJSONHandler(w, o))
	}
	return slog.New(slog.NewTextHandler(w, o))
}

// logLevel parses a level that the settings have already validated.
func logLevel(name string) slog.Level {
	var l slog.Level
	if err := l.UnmarshalText([]byte(name)); err != nil {
		return slog.LevelInfo
	}
	return l
}
