package command

import (
	"context"
	"errors"
	"fmt"
	"net/url"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/cicadadale/cicadadale/timeline"
)

const timelineDialTimeout = time.Second

func timelineCommand() *cli.Command {
	return &cli.Command{
		Name:  "timeline",
		Usage: "collect the events of all reachable processes in one causal order",
		Description: "Fetches the recent events of each entry VM from its admin server and merges them by logical time, so that " +
			"every event comes after its causes, independent of the machines' clocks. Unreachable processes and " +
			"events that have been overwritten are listed as gaps at the end.\n\n" +
			"Example: cicadadale timeline --admin 127.0.0.1:7003 --admin 127.0.0.1:7013 --workers --task j-1-00c0ffee00c0ffee-17.0",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "admin", Required: true, Usage: "admin `ADDRESS` of an entry VM; may be repeated"},
			&cli.BoolFlag{Name: "workers", Usage: "also query the workers known to the entry VMs"},
			&cli.StringFlag{Name: "format", Value: "text", Usage: "output `FORMAT`: text, json, or trace (for a browser's trace viewer)"},
			&cli.StringFlag{Name: "job", Usage: "only events of the job with this `ID`"},
			&cli.StringFlag{Name: "task", Usage: "only events of the task with this `ID` and of its job, from submit to answer"},
			&cli.StringFlag{Name: "worker", Usage: "only events that concern the worker `ID`"},
			&cli.StringFlag{Name: "vm", Usage: "only events that the entry VM `ID` recorded or that name it as peer"},
			&cli.StringSliceFlag{Name: "kind", Usage: "only events of this `KIND`, such as grant or grant.issued; may be repeated"},
			&cli.StringFlag{Name: "from", Usage: "only events from this `TIME` on (RFC 3339)"},
			&cli.StringFlag{Name: "to", Usage: "only events up to this `TIME` (RFC 3339)"},
		},
		Action: runTimeline,
	}
}

func runTimeline(ctx context.Context, c *cli.Command) error {
	f, err := timelineFilter(c)
	if err != nil {
		return err
	}
	write, err := timelineWriter(c.String("format"))
	if err != nil {
		return err
	}
	collector, err := timeline.NewCollector(timelineDialTimeout)
	if err != nil {
		return err
	}
	addresses := c.StringSlice("admin")
	if c.Bool("workers") {
		addresses = append(addresses, collector.WorkerAddresses(ctx, addresses)...)
	}
	parts := collector.Collect(ctx, addresses, f)
	if err := write(timeline.Merge(parts), c); err != nil {
		return err
	}
	for _, p := range parts {
		if p.Error == "" {
			return nil
		}
	}
	return errors.New("no process could be reached")
}

func timelineFilter(c *cli.Command) (timeline.Filter, error) {
	q := url.Values{}
	for _, name := range []string{"job", "task", "worker", "vm", "from", "to"} {
		q.Set(name, c.String(name))
	}
	for _, k := range c.StringSlice("kind") {
		q.Add("kind", k)
	}
	return timeline.ParseFilter(q)
}

func timelineWriter(format string) (func(timeline.Timeline, *cli.Command) error, error) {
	switch format {
	case "text":
		return func(t timeline.Timeline, c *cli.Command) error { return t.WriteText(c.Root().Writer) }, nil
	case "json":
		return func(t timeline.Timeline, c *cli.Command) error { return t.WriteJSON(c.Root().Writer) }, nil
	case "trace":
		return func(t timeline.Timeline, c *cli.Command) error { return t.WriteTrace(c.Root().Writer) }, nil
	default:
		return nil, fmt.Errorf("unknown format %q; formats are text, json and trace", format)
	}
}
