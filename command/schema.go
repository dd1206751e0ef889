package command

import (
	"context"
	"errors"
	"fmt"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/cicadadale/cicadadale/schema"
)

func schemaCommand() *cli.Command {
	return &cli.Command{
		Name:     "schema",
		Usage:    "check schema files",
		Commands: []*cli.Command{schemaCheckCommand()},
	}
}

func schemaCheckCommand() *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "check schema files and list their request kinds",
		ArgsUsage: "FILE...",
		Action: func(_ context.Context, c *cli.Command) error {
			services, findings := schema.LoadFiles(c.Args().Slice()...)
			if len(findings) > 0 {
				return findingsError(findings)
			}
			for _, s := range services {
				if _, err := fmt.Fprintf(c.Root().Writer, "%s: %d request kinds\n", s.Name(), len(s.Kinds())); err != nil {
					return err
				}
			}
			return nil
		},
	}
}

// findingsError lists all findings, a line each.
func findingsError(findings []schema.Finding) error {
	lines := make([]string, len(findings))
	for i, f := range findings {
		lines[i] = fmt.Sprintf("%s:%d:%d: %s", f.File, f.Line, f.Column, f.Reason)
	}
	return errors.New(strings.Join(lines, "\n"))
}
