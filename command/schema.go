package command

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/cicadadale/cicadadale/schema"
)

func schemaCommand() *cli.Command {
	return &cli.Command{
		Name:  "schema",
		Usage: "check schema files and generate typed stubs for callers",
		Description: "A schema file is a .proto file whose services list the request kinds of a back end. It imports " +
			"cicadadale/options.proto, which is built in, to declare deadlines, classes, weights and straggler actions.",
		Commands: []*cli.Command{schemaCheckCommand(), schemaGenerateCommand()},
	}
}

func schemaCheckCommand() *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "check schema files and list their request kinds",
		ArgsUsage: "FILE...",
		Description: "Prints every finding as FILE:LINE:COLUMN: REASON and exits with status 1 if there is any.\n\n" +
			"Example: cicadadale schema check schemas/glashaus.proto schemas/wakala.proto",
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().Len() == 0 {
				return errors.New("no schema file is given")
			}
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

func schemaGenerateCommand() *cli.Command {
	return &cli.Command{
		Name:      "generate",
		Usage:     "generate Go messages and job stubs",
		ArgsUsage: "FILE...",
		Description: "Writes NAME.pb.go with the messages and NAME_job.pb.go with a job type per service: create a job, add " +
			"typed tasks, submit, read typed results, cancel, reconfigure, query the status. Needs no other tools.\n\n" +
			"Example: cicadadale schema generate schemas/glashaus.proto --out schemas/glashaus",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "out", Required: true, Usage: "`DIR` to write to"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().Len() == 0 {
				return errors.New("no schema file is given")
			}
			files, findings, err := schema.GenerateFiles(c.Args().Slice()...)
			if err != nil {
				return err
			}
			if len(findings) > 0 {
				return findingsError(findings)
			}
			return writeFiles(c.String("out"), files)
		},
	}
}

func writeFiles(dir string, files []schema.Generated) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	for _, f := range files {
		if err := os.WriteFile(filepath.Join(dir, f.Name), f.Content, 0o644); err != nil {
			return err
		}
	}
	return nil
}

// findingsError returns an error that lists all findings, one per line.
func findingsError(findings []schema.Finding) error {
	lines := make([]string, len(findings))
	for i, f := range findings {
		lines[i] = fmt.Sprintf("%s:%d:%d: %s", f.File, f.Line, f.Column, f.Reason)
	}
	return errors.New(strings.Join(lines, "\n"))
}
