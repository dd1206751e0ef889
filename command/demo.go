package command

import (
	"context"

	"github.com/urfave/cli/v3"

	"github.com/cicadadale/cicadadale/load"
)

func demoCommand() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "run jobs of both deployments against daemons and stand-ins in one process",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "jobs", Value: 40, Usage: "number of jobs"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			return load.Demo(ctx, c.Root().Writer, c.Int("jobs"), newLogger("warn"))
		},
	}
}
