package command

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/cicadadale/cicadadale/load"
)

func soakCommand() *cli.Command {
	return &cli.Command{
		Name:  "soak",
		Usage: "run entry daemons under random faults and check the invariants",
		Description: "Starts entry daemons as child processes, workers and the platform stand-in, injects faults drawn " +
			"from the seed, and checks every start and answer. Exits 1 on a violation. Fault kinds: " +
			strings.Join(load.FaultKinds(), ", ") + ".",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of all random choices"},
			&cli.DurationFlag{Name: "duration", Value: 30 * time.Second, Usage: "time in which faults are injected"},
			&cli.IntFlag{Name: "entries", Value: 6, Usage: "number of entry VMs in two failure domains"},
			&cli.StringSliceFlag{Name: "fault", Usage: "inject only this `KIND`; may be repeated"},
			&cli.StringFlag{Name: "dir", Usage: "keep the daemons' settings and logs in `DIR`"},
			&cli.BoolFlag{Name: "json", Usage: "print a JSON object as the last line"},
		},
		Action: runSoak,
	}
}

func runSoak(_ context.Context, c *cli.Command) error {
	w := c.Root().Writer
	r, err := load.RunSoak(load.SoakOptions{
		Seed: c.Uint64("seed"), Duration: c.Duration("duration"), Entries: c.Int("entries"),
		Faults: c.StringSlice("fault"), Dir: c.String("dir"), Out: w,
	})
	if err != nil {
		return err
	}
	if c.Bool("json") {
		err = json.NewEncoder(w).Encode(r)
	} else {
		_, err = fmt.Fprintf(w, "seed %d: %d tasks started, %d jobs, %d violations, %d answers missing\n", r.Seed,
			r.TasksStarted, r.JobsSubmitted, r.Violations, r.AnswersMissing)
	}
	if err != nil {
		return err
	}
	if r.Violations > 0 {
		return cli.Exit("", 1)
	}
	return nil
}
