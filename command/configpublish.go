package command

import (
	"context"
	"errors"
	"fmt"

	"github.com/urfave/cli/v3"

	"github.com/cicadadale/cicadadale/config"
	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/machine"
	"github.com/cicadadale/cicadadale/platform"
)

func configPublishCommand() *cli.Command {
	return &cli.Command{
		Name:      "publish",
		Usage:     "publish a change and wait for the verdict",
		ArgsUsage: "FILE",
		Description: "The change applies to the revision --base, as config show prints it. If another change came first, " +
			"the command reports it and exits with status 1. After an unknown outcome, repeat the command with the printed " +
			"--id: a change is accepted at most once.",
		Flags: append(configLogFlags(),
			&cli.Uint64Flag{Name: "base", Required: true, Usage: "`REVISION` that the change applies to"},
			&cli.StringFlag{Name: "author", Required: true, Usage: "`NAME` of the author"},
			&cli.StringFlag{Name: "id", Usage: "`ID` of the change; generated if not given"},
		),
		Action: publishConfig,
	}
}

func publishConfig(ctx context.Context, c *cli.Command) error {
	ctx, cancel := context.WithTimeout(ctx, c.Duration("timeout"))
	defer cancel()
	l, err := openConfigLog(ctx, c)
	if err != nil {
		return err
	}
	change := contract.ConfigChange{ID: c.String("id"), Author: c.String("author"), Base: c.Uint64("base")}
	if change.ID == "" {
		change.ID = "change-" + machine.NewIncarnation().String()
	}
	if v, ok := l.verdicts[change.ID]; ok {
		return printVerdict(c, change, v)
	}
	// A change with a stale base is published too: only the order of the log decides.
	current := l.state.View().Document
	if change.Patch, err = readPatch(c, current); err != nil {
		return err
	}
	data, err := config.EncodeRecord(contract.ConfigRecord{Change: &change})
	if err != nil {
		return err
	}
	_, appendErr := l.log.Append(ctx, configStream, data)
	for {
		err := l.read(ctx)
		if v, ok := l.verdicts[change.ID]; ok {
			return printVerdict(c, change, v)
		}
		if err == nil {
			// The record may not have reached the log yet.
			_, err = l.log.Read(ctx, configStream, l.state.Position(), 1, retryWait)
		}
		if ctx.Err() != nil || (err != nil && platform.Sleep(ctx, retryWait) != nil) {
			return fmt.Errorf("the outcome of change %s is unknown; repeat with --id %s: %w", change.ID, change.ID,
				errors.Join(appendErr, err, ctx.Err()))
		}
	}
}

func printVerdict(c *cli.Command, change contract.ConfigChange, v contract.ConfigVerdict) error {
	switch {
	case v.Accepted:
		_, err := fmt.Fprintf(c.Root().Writer, "accepted: change %s is revision %d\n", v.ID, v.Revision)
		return err
	case v.Winner.ID == change.ID:
		_, err := fmt.Fprintf(c.Root().Writer, "accepted before: change %s is revision %d\n", v.ID, v.Winner.Revision)
		return err
	case v.Winner.ID != "":
		return fmt.Errorf("rejected: %s; revision %d is change %s by %s", v.Reason, v.Winner.Revision, v.Winner.ID,
			v.Winner.Author)
	default:
		return fmt.Errorf("rejected: %s", v.Reason)
	}
}
