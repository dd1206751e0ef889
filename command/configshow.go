package command

import (
	"context"
	"encoding/json"

	"github.com/urfave/cli/v3"

	"github.com/cicadadale/cicadadale/contract"
)

type configOutput struct {
	Revision uint64                  `json:"revision"`
	Change   string                  `json:"change,omitempty"`
	Author   string                  `json:"author,omitempty"`
	Document contract.ConfigDocument `json:"document"`
}

func configShowCommand() *cli.Command {
	return &cli.Command{
		Name:  "show",
		Usage: "print the current revision of the configuration log as JSON",
		Flags: configLogFlags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			ctx, cancel := context.WithTimeout(ctx, c.Duration("timeout"))
			defer cancel()
			l, err := openConfigLog(ctx, c)
			if err != nil {
				return err
			}
			v := l.state.View()
			enc := json.NewEncoder(c.Root().Writer)
			enc.SetIndent("", "  ")
			return enc.Encode(configOutput{
				Revision: v.Revision, Change: v.Origin.ID, Author: v.Origin.Author, Document: v.Document,
			})
		},
	}
}
