package command

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/cicadadale/cicadadale/soak"
)

func edgeSoakCommand() *cli.Command {
	return &cli.Command{
		Name:  "edgesoak",
		Usage: "run edge daemons as separate processes under random faults and check what clients and workers see",
		Description: "Starts edge daemons as child processes, stand-ins of workers and of the platform's store, and relays " +
			"between them; clients submit jobs and retry them as the platform's clients do. Faults are drawn from the " +
			"seed and may overlap. Exits 1 on a violation. Fault kinds: " + strings.Join(soak.FaultKinds(), ", ") + ".\n\n" +
			"Example: cicadadale edgesoak --seed 7 --duration 20s --dir /tmp/soak-7 --json",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of all random choices"},
			&cli.DurationFlag{Name: "duration", Value: 20 * time.Second, Usage: "time in which faults are injected"},
			&cli.IntFlag{Name: "domains", Value: 3, Usage: "number of failure domains"},
			&cli.IntFlag{Name: "daemons", Value: 2, Usage: "number of daemons in each failure domain"},
			&cli.IntFlag{Name: "workers", Value: 6, Usage: "number of workers in each failure domain"},
			&cli.StringSliceFlag{Name: "fault", Usage: "inject only this `KIND`; may be repeated"},
			&cli.DurationFlag{Name: "fault-interval", Usage: "inject faults at this interval instead of a random one"},
			&cli.FloatFlag{Name: "wave-share", Usage: "share of the workers that worker_exit_wave ends (default: 0.17)"},
			&cli.DurationFlag{Name: "wave-down", Usage: "for how long worker_exit_wave ends workers (default: 500ms)"},
			&cli.StringFlag{Name: "dir", Usage: "keep the daemons' settings and logs in `DIR`, which is created if necessary"},
			&cli.BoolFlag{Name: "json", Usage: "print a JSON object as the last line"},
		},
		Action: runEdgeSoak,
	}
}

func runEdgeSoak(_ context.Context, c *cli.Command) error {
	program, err := os.Executable()
	if err != nil {
		return err
	}
	w := c.Root().Writer
	r, err := soak.Run(soak.Options{
		Program: program, Seed: c.Uint64("seed"), Duration: c.Duration("duration"), Domains: c.Int("domains"),
		Daemons: c.Int("daemons"), Workers: c.Int("workers"),
		Faults: c.StringSlice("fault"), Dir: c.String("dir"), Out: w,
		FaultInterval: c.Duration("fault-interval"), WaveShare: c.Float("wave-share"), WaveDown: c.Duration("wave-down"),
	})
	if err != nil {
		return err
	}
	if c.Bool("json") {
		err = json.NewEncoder(w).Encode(r)
	} else {
		_, err = fmt.Fprintf(w, "seed %d: %d tasks started, %d jobs, %d violations, logs in %s\n", r.Seed, r.TasksStarted, r.Jobs,
			r.Violations, r.Dir)
	}
	if err != nil {
		return err
	}
	if r.Violations > 0 {
		return cli.Exit("", 1)
	}
	return nil
}
