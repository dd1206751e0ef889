package command

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"sort"
	"sync"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/cicadadale/cicadadale/platform"
	"github.com/cicadadale/cicadadale/rpc"
)

const (
	// watchTimeout bounds one poll of all entry VMs.
	watchTimeout = time.Second
	// retryWait is how long publish waits for new records, or after an error, before it reads the log again.
	retryWait = 100 * time.Millisecond
)

func configWatchCommand() *cli.Command {
	return &cli.Command{
		Name:  "watch",
		Usage: "print the revision in effect on each entry VM, one line per change",
		Description: "Polls the entry VMs that --entry names, or all in the platform's list, until interrupted or until all " +
			"have at least the revision --until in effect.",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "entry", Usage: "callers' `ADDRESS` of an entry VM; may be repeated"},
			&cli.StringFlag{Name: "list", Value: "http://127.0.0.1:7400", Usage: "base `URL` of the platform's list"},
			&cli.Uint64Flag{Name: "until", Usage: "end when all have `REVISION`"},
			&cli.DurationFlag{Name: "interval", Value: 200 * time.Millisecond, Usage: "`TIME` between polls"},
		},
		Action: watchConfig,
	}
}

func watchConfig(ctx context.Context, c *cli.Command) error {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer stop()
	shown := make(map[string]string)
	for {
		addresses, err := watchedEntries(ctx, c)
		if err != nil {
			return err
		}
		all := len(addresses) > 0
		for _, l := range pollEntries(ctx, addresses) {
			all = all && l.known && l.revision >= c.Uint64("until")
			if shown[l.address] == l.text {
				continue
			}
			shown[l.address] = l.text
			if _, err := fmt.Fprintf(c.Root().Writer, "%s %s %s\n", time.Now().Format("15:04:05.000"), l.address, l.text); err != nil {
				return err
			}
		}
		if (all && c.IsSet("until")) || platform.Sleep(ctx, c.Duration("interval")) != nil {
			return nil
		}
	}
}

func watchedEntries(ctx context.Context, c *cli.Command) ([]string, error) {
	if a := c.StringSlice("entry"); len(a) > 0 {
		return a, nil
	}
	list := platform.NewHTTPVMList(c.String("list"))
	vms, err := list.List(ctx)
	if err != nil {
		return nil, err
	}
	var out []string
	for _, v := range vms {
		if v.Kind == platform.KindEntry {
			out = append(out, v.CallerAddress)
		}
	}
	return out, nil
}

type watchLine struct {
	address  string
	text     string
	known    bool
	revision uint64
}

// pollEntries queries all entry VMs concurrently.
func pollEntries(ctx context.Context, addresses []string) []watchLine {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	lines := make([]watchLine, len(addresses))
	var wg sync.WaitGroup
	for i, a := range addresses {
		wg.Go(func() { lines[i] = pollEntry(ctx, a) })
	}
	wg.Wait()
	sort.Slice(lines, func(i, j int) bool { return lines[i].address < lines[j].address })
	return lines
}

func pollEntry(ctx context.Context, address string) watchLine {
	r, err := rpc.ShowConfiguration(ctx, address, true, nil)
	switch {
	case err != nil:
		return watchLine{address: address, text: "does not answer"}
	case !r.GetKnown():
		return watchLine{address: address, text: r.GetVm() + " knows no configuration"}
	}
	text := fmt.Sprintf("%s revision %d", r.GetVm(), r.GetRevision())
	if r.GetChangeId() != "" {
		text += fmt.Sprintf(" (%s by %s)", r.GetChangeId(), r.GetAuthor())
	}
	return watchLine{address: address, text: text, known: true, revision: r.GetRevision()}
}
