package command

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"github.com/cicadadale/cicadadale/contract"
)

func configCheckCommand() *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "check a change and print all findings",
		ArgsUsage: "FILE",
		Description: "Without --log the file is checked on its own, so its teams may only belong to customers in the " +
			"file. With --log it is checked against the current configuration.",
		Flags: []cli.Flag{&cli.StringFlag{Name: "log", Usage: "base `URL` of the platform's log"}},
		Action: func(ctx context.Context, c *cli.Command) error {
			var current contract.ConfigDocument
			if c.String("log") != "" {
				l, err := openConfigLog(ctx, c)
				if err != nil {
					return err
				}
				current = l.state.View().Document
			}
			if _, err := readPatch(c, current); err != nil {
				return err
			}
			_, err := fmt.Fprintln(c.Root().Writer, "no findings")
			return err
		},
	}
}
