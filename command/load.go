package command

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"path/filepath"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/cicadadale/cicadadale/load"
)

func loadCommand() *cli.Command {
	return &cli.Command{
		Name:  "load",
		Usage: "apply a workload to a deployment in one process and measure it",
		Description: "Starts entry VMs, workers and the platform stand-in on loopback, submits the workload's jobs and " +
			"checks every answer. docs/workloads.md describes the file. Exits 1 if an answer is wrong or missing.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "file", Aliases: []string{"f"}, Required: true, Usage: "workload `FILE` (TOML)"},
			&cli.StringFlag{Name: "policy", Value: "default", Usage: "placement `POLICY`: " + strings.Join(load.Policies(), ", ")},
			&cli.BoolFlag{Name: "compare", Usage: "run all policies one after the other with the same seed"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of all random choices"},
			&cli.StringFlag{Name: "plot", Usage: "write curves over time to `FILE` (.png or .svg)"},
			&cli.BoolFlag{Name: "json", Usage: "print a JSON object as the last line"},
		},
		Action: runLoad,
	}
}

func runLoad(ctx context.Context, c *cli.Command) error {
	file := c.String("file")
	workload, err := load.ReadWorkload(file)
	if err != nil {
		return err
	}
	selected := []string{c.String("policy")}
	if c.Bool("compare") {
		selected = load.Policies()
	}
	clean := true
	for _, policy := range selected {
		report, plot, err := load.RunLoad(ctx, load.Options{
			File: file, Workload: workload, Policy: policy, Seed: c.Uint64("seed"), Logger: newLogger("warn"),
			Out: c.Root().Writer,
		})
		if err != nil {
			return err
		}
		if name := c.String("plot"); name != "" {
			if err := plot.Save(plotName(name, policy, len(selected) > 1)); err != nil {
				return err
			}
		}
		clean = clean && report.Clean()
		if err := printReport(c.Root().Writer, report, c.Bool("json")); err != nil {
			return err
		}
	}
	if !clean {
		return cli.Exit("", 1)
	}
	return nil
}

// plotName adds the policy to the file name if there are several policies.
func plotName(name, policy string, several bool) string {
	if !several {
		return name
	}
	ext := filepath.Ext(name)
	return strings.TrimSuffix(name, ext) + "-" + policy + ext
}

func printReport(w io.Writer, r load.Report, asJSON bool) error {
	if asJSON {
		return json.NewEncoder(w).Encode(r)
	}
	_, err := fmt.Fprintf(w, "policy %s: %d jobs, %d complete, %d failed, %d refused, %d wrong, %d missing, response "+
		"ratio p50 %.3f p99 %.3f, served at the peak %.3f, wasted messages per task %.4f\n", r.Policy, r.JobsSubmitted,
		r.JobsComplete, r.JobsFailed, r.JobsRefused, r.AnswersWrong, r.AnswersMissing, r.ResponseRatioP50,
		r.ResponseRatioP99, r.PeakServedRatio, r.WastedMessagesPerTask)
	return err
}
