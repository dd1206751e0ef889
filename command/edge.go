package command

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/urfave/cli/v3"

	"github.com/cicadadale/cicadadale/admin"
	"github.com/cicadadale/cicadadale/clientlimit"
	"github.com/cicadadale/cicadadale/config"
	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/edge"
	"github.com/cicadadale/cicadadale/internal/bootclock"
	"github.com/cicadadale/cicadadale/internal/logbuffer"
	"github.com/cicadadale/cicadadale/machine"
	"github.com/cicadadale/cicadadale/platform"
)

const (
	// settingsVariable names the environment variable in which the platform passes the path of the settings file.
	settingsVariable = "CICADADALE_CONFIG"
	// millisPerCore converts shares of a core to thousandths.
	millisPerCore = 1000
	// stopMargin is the part of the grace period that is reserved for closing connections.
	stopMargin = 300 * time.Millisecond
	// answerLinger is how long the process stays after its last job has been answered: the server writes an answer only
	// after the job's handler has returned it.
	answerLinger = 50 * time.Millisecond
	// gcPercent lets the heap grow to three times the live memory between two collections. A collection delays all other
	// work of a process with one core, and the live memory of a daemon is a few megabytes. Collections become frequent before the
	// memory of the VM is used up.
	gcPercent = 200
	// peerDialTimeout bounds the opening of a connection to another member.
	peerDialTimeout = 500 * time.Millisecond
)

func edgeCommand() *cli.Command {
	return &cli.Command{
		Name:  "edge",
		Usage: "run the edge daemon of the users' platform",
		Description: "Serves jobs over HTTP on listen.front and runs their tasks on the workers that the platform's store " +
			"lists, together with the other edge daemons. SIGTERM stops it gracefully within stop.grace_s. Settings are " +
			"described in docs/OPERATIONS.md; the platform fills in the template deploy/settings.toml.\n\n" +
			"Example: cicadadale edge --settings edge.toml --check",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Aliases: []string{"s"}, Sources: cli.EnvVars(settingsVariable), Required: true,
				Usage: "settings `FILE` (TOML)"},
			&cli.BoolFlag{Name: "check", Usage: "check the settings, print all findings, and exit"},
		},
		Action: runEdge,
	}
}

func runEdge(ctx context.Context, c *cli.Command) error {
	path := c.String("settings")
	settings, err := config.LoadEdge(path)
	if err != nil {
		return err
	}
	if c.Bool("check") {
		_, err := fmt.Fprintf(c.Root().Writer, "%s: no findings\n", path)
		return err
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer stop()
	logOutput := logbuffer.New(os.Stdout, time.Now)
	defer logOutput.Close()
	level := &slog.LevelVar{}
	level.Set(logLevel(settings.Log.Level))
	logger := newLoggerTo(logOutput, level, settings.Log.Format)
	// net/http reports responses that nobody has asked for to the default logger.
	slog.SetDefault(logger)
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	defer signal.Stop(reload)
	go func(current config.Edge) {
		for range reload {
			current = reloadEdge(path, current, level, logger)
		}
	}(settings)
	return serveEdge(ctx, settings, logger)
}

// reloadEdge reads the settings again and applies the log level; changes of other settings need a restart. It returns
// the settings in effect.
func reloadEdge(path string, current config.Edge, level *slog.LevelVar, logger *slog.Logger) config.Edge {
	next, err := config.LoadEdge(path)
	if err != nil {
		logger.Error("reloading settings failed; keeping the current ones", "error", err)
		return current
	}
	level.Set(logLevel(next.Log.Level))
	logger.Info("settings reloaded", "log_level", next.Log.Level, "needs_restart", current.NeedsRestart(next))
	current.Log.Level = next.Log.Level
	return current
}

// serveEdge runs the daemon until ctx is cancelled, then stops it gracefully.
func serveEdge(ctx context.Context, s config.Edge, logger *slog.Logger) error {
	debug.SetGCPercent(gcPercent)
	vm := clientlimit.VM{MemoryMB: s.VM.MemoryMB, Descriptors: s.VM.MaxFDs}
	debug.SetMemoryLimit(vm.CollectionBytes())
	peers, err := net.Listen("tcp", s.Listen.Peers)
	if err != nil {
		return err
	}
	store := platform.NewLogStore(s.Store.Address, logger)
	self := machine.Member{
		VM: s.VM.ID, Incarnation: machine.NewIncarnation(), Domain: s.VM.FailureDomain,
		Address:   cmp.Or(s.Listen.Advertise, peers.Addr().String()),
		CPUMillis: int(s.VM.CPUShare * millisPerCore),
	}
	logger.Info("starting", "member", self.ID(), "version", Version, "front", s.Listen.Front, "peers", self.Address,
		"store", s.Store.Address, "failure_domain", self.Domain)
	dialer := net.Dialer{Timeout: peerDialTimeout}
	registry := metrics.NewRegistry()
	clock := bootclock.New()
	explain := &explainer{now: clock.Now}
	clients := clientlimit.NewProcess(vm, logger, registry)
	if s.Listen.Metrics != "" {
		l, err := clientlimit.Listen(s.Listen.Metrics, clients.Operators())
		if err != nil {
			return errors.Join(err, peers.Close())
		}
		metricsServer := admin.ServeMetrics(l, registry, explain.query())
		defer func() { logger.Debug("metrics server stopped", "error", metricsServer.Stop()) }()
	}
	daemon, err := edge.New(edge.Options{
		Self: self, Store: store, Calls: platform.NewWorkersFrom(net.ParseIP(s.Runs.Source)), Peers: peers,
		Lease: s.Lease(), Grace: s.Grace(), AvoidSlow: s.Placement.AvoidSlow, AdaptStartTimeout: s.Runs.AdaptStartTimeout,
		Overload: contract.OverloadPolicy{Shed: s.Overload.Shed, Steal: s.Overload.Steal},
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address)
		},
		MaxJobs: vm.Jobs(), Now: clock.Now, Logger: logger, Metrics: registry,
	})
	if err != nil {
		return errors.Join(err, peers.Close())
	}
	explain.daemon.Store(daemon)
	ingress := platform.NewIngress(platform.IngressOptions{
		Front: s.Listen.Front, Readiness: s.Listen.Readiness, Jobs: daemon, Now: clock.Now, Logger: logger, Clients: clients,
	})
	ingressDone := make(chan error, 1)
	go func() { ingressDone <- ingress.Run() }()
	select {
	case <-ctx.Done():
	case err := <-ingressDone:
		daemon.Close()
		return err
	}
	deadline, cancel := context.WithTimeout(context.Background(), s.Grace()-stopMargin)
	defer cancel()
	daemon.Stop(deadline)
	ingress.Close()
	daemon.Finish(deadline)
	time.Sleep(answerLinger)
	// The rest ends with the process: an orderly close would wait for pending reads of the store.
	return nil
}
