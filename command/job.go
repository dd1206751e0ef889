package command

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/cicadadale/cicadadale/api"
	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/rpc"
)

func jobCommand() *cli.Command {
	addresses := &cli.StringSliceFlag{
		Name: "entry", Value: []string{"127.0.0.1:7001"}, Usage: "callers' `ADDRESS` of an entry VM; may be repeated",
	}
	timeout := &cli.DurationFlag{Name: "timeout", Value: 30 * time.Second, Usage: "longest wait for the answer"}
	return &cli.Command{
		Name:  "job",
		Usage: "create, submit, cancel, reconfigure and query jobs",
		Description: "Jobs go to any of the entry VMs; the client tries the others when one is unreachable. All calls may " +
			"be repeated safely with the same job id.\n\nExample:\n" +
			"  cicadadale job --entry 127.0.0.1:7001 submit --service glashaus.v1.Booking --kind PriceHire --payload ''\n" +
			"  cicadadale job --entry 127.0.0.1:7001 status j-1-00c0ffee00c0ffee-17",
		Flags: []cli.Flag{
			addresses, timeout,
			&cli.StringFlag{Name: "tls-ca", Usage: "use TLS and trust the authorities in this PEM `FILE`"},
			&cli.StringFlag{Name: "tls-certificate", Usage: "use TLS and present the certificate in this PEM `FILE`"},
			&cli.StringFlag{Name: "tls-key", Usage: "key of the certificate, a PEM `FILE`"},
			&cli.StringFlag{Name: "tls-server-name", Usage: "`NAME` that the entry VM's certificate must have; default: its address"},
		},
		Commands: []*cli.Command{
			jobCreateCommand(), jobSubmitCommand(), jobCancelCommand(), jobReconfigureCommand(), jobStatusCommand(),
		},
	}
}

// withClient runs fn with a client for the entry VMs that the flags name.
func withClient(ctx context.Context, c *cli.Command, fn func(context.Context, *rpc.Client) error) error {
	creds, err := callerCredentials(c)
	if err != nil {
		return err
	}
	client, err := rpc.NewClient(c.StringSlice("entry"), creds)
	if err != nil {
		return err
	}
	defer client.Close()
	ctx, cancel := context.WithTimeout(ctx, c.Duration("timeout"))
	defer cancel()
	return fn(ctx, client)
}

func jobCreateCommand() *cli.Command {
	return &cli.Command{
		Name:  "create",
		Usage: "print a fresh job id",
		Action: func(ctx context.Context, c *cli.Command) error {
			return withClient(ctx, c, func(ctx context.Context, client *rpc.Client) error {
				id, err := client.NewJob(ctx)
				if err != nil {
					return err
				}
				_, err = fmt.Fprintln(c.Root().Writer, id)
				return err
			})
		},
	}
}

func jobSubmitCommand() *cli.Command {
	return &cli.Command{
		Name:  "submit",
		Usage: "submit a job and print its complete answer as JSON",
		Description: "Each payload is a task. Exit status: 0 complete, 1 error without an answer (submit again with the " +
			"same --id), 2 failed, 3 refused and not run.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "id", Usage: "job `ID` from create; generated if neither --id nor --key is given"},
			keyFlag(),
			&cli.StringFlag{Name: "service", Required: true, Usage: "full `NAME` of the service"},
			&cli.StringFlag{Name: "kind", Required: true, Usage: "request `KIND`"},
			&cli.StringSliceFlag{Name: "payload", Usage: "payload `TEXT` of one task; may be repeated"},
			&cli.StringSliceFlag{Name: "payload-hex", Usage: "payload of one task as `HEX` digits, for encoded messages; may be repeated"},
			&cli.StringFlag{Name: "customer", Usage: "`NAME` of the customer"},
			&cli.StringFlag{Name: "team", Usage: "`NAME` of the team"},
			&cli.DurationFlag{Name: "deadline", Usage: "time allowed until the complete answer"},
			&cli.IntFlag{Name: "priority", Usage: "higher runs first within the customer"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			return withClient(ctx, c, func(ctx context.Context, client *rpc.Client) error {
				return submitJob(ctx, c, client)
			})
		},
	}
}

func submitJob(ctx context.Context, c *cli.Command, client *rpc.Client) error {
	ref, err := submitRef(ctx, c, client)
	if err != nil {
		return err
	}
	s := contract.Submission{
		Ref: ref, Service: c.String("service"), Customer: c.String("customer"),
		Team: c.String("team"), Deadline: c.Duration("deadline"), Priority: c.Int("priority"),
	}
	for _, p := range c.StringSlice("payload") {
		s.Tasks = append(s.Tasks, contract.TaskSpec{Kind: c.String("kind"), Payload: []byte(p)})
	}
	for _, p := range c.StringSlice("payload-hex") {
		payload, err := hex.DecodeString(p)
		if err != nil {
			return fmt.Errorf("payload-hex %q: %w", p, err)
		}
		s.Tasks = append(s.Tasks, contract.TaskSpec{Kind: c.String("kind"), Payload: payload})
	}
	answer, err := client.Do(ctx, s)
	if err != nil {
		return err
	}
	if err := printAnswer(c.Root().Writer, answer); err != nil {
		return err
	}
	return exitError(answer)
}

// Exit statuses of job submit, besides 0 for a complete answer and 1 for an error without an answer.
const (
	exitFailed  = 2
	exitRefused = 3
)

func exitError(a contract.Answer) error {
	switch a.Verdict {
	case contract.VerdictFailed:
		return cli.Exit("job failed: "+a.Reason, exitFailed)
	case contract.VerdictRefused:
		return cli.Exit("job refused, not run: "+a.Reason, exitRefused)
	default:
		return nil
	}
}

type answerOutput struct {
	Job     string       `json:"job"`
	Verdict string       `json:"verdict"`
	Reason  string       `json:"reason,omitempty"`
	Detail  string       `json:"detail,omitempty"`
	Tasks   []taskOutput `json:"tasks,omitempty"`
}

type taskOutput struct {
	Outcome string  `json:"outcome"`
	Detail  string  `json:"detail,omitempty"`
	RunMS   float64 `json:"run_ms"`
	Worker  string  `json:"worker,omitempty"`
	Result  []byte  `json:"result,omitempty"`
}

func printAnswer(w io.Writer, a contract.Answer) error {
	out := answerOutput{Job: a.Job.String(), Verdict: a.Verdict.String(), Reason: a.Reason, Detail: a.Detail}
	for i, r := range a.Reports {
		t := taskOutput{
			Outcome: r.Outcome.String(), Detail: r.Detail, RunMS: float64(r.RunTime.Microseconds()) / 1000, Worker: r.Worker,
		}
		if i < len(a.Results) {
			t.Result = a.Results[i]
		}
		out.Tasks = append(out.Tasks, t)
	}
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(out)
}

// jobAction returns an action that runs fn with a client and the job that the command names.
func jobAction(fn func(context.Context, *cli.Command, *rpc.Client, contract.JobRef) error) cli.ActionFunc {
	return func(ctx context.Context, c *cli.Command) error {
		ref, err := refArgument(c)
		if err != nil {
			return err
		}
		return withClient(ctx, c, func(ctx context.Context, client *rpc.Client) error { return fn(ctx, c, client, ref) })
	}
}

func jobCancelCommand() *cli.Command {
	return &cli.Command{
		Name:      "cancel",
		Usage:     "cancel the tasks of a job that have not started",
		ArgsUsage: "[ID]",
		Flags:     []cli.Flag{keyFlag()},
		Action: jobAction(func(ctx context.Context, c *cli.Command, client *rpc.Client, ref contract.JobRef) error {
			a, err := client.Cancel(ctx, ref)
			if err != nil {
				return err
			}
			return printAnswer(c.Root().Writer, a)
		}),
	}
}

func jobReconfigureCommand() *cli.Command {
	return &cli.Command{
		Name:      "reconfigure",
		Usage:     "change the deadline or priority of a job that has not finished",
		ArgsUsage: "[ID]",
		Flags: []cli.Flag{
			keyFlag(),
			&cli.DurationFlag{Name: "deadline", Usage: "time allowed from now"},
			&cli.IntFlag{Name: "priority", Usage: "higher runs first within the customer"},
		},
		Action: jobAction(func(ctx context.Context, c *cli.Command, client *rpc.Client, ref contract.JobRef) error {
			change := contract.Change{Deadline: c.Duration("deadline"), Priority: c.Int("priority")}
			st, err := client.Reconfigure(ctx, ref, change)
			if err != nil {
				return err
			}
			return printStatus(c.Root().Writer, st)
		}),
	}
}

func jobStatusCommand() *cli.Command {
	return &cli.Command{
		Name:      "status",
		Usage:     "print the progress of a job as JSON",
		ArgsUsage: "[ID]",
		Flags:     []cli.Flag{keyFlag()},
		Action: jobAction(func(ctx context.Context, c *cli.Command, client *rpc.Client, ref contract.JobRef) error {
			st, err := client.Status(ctx, ref)
			if err != nil {
				return err
			}
			return printStatus(c.Root().Writer, st)
		}),
	}
}

// printStatus prints the progress of a job as one line of JSON. Verdicts on the wire are one higher than those of
// package contract, because their zero value means that none is specified.
func printStatus(w io.Writer, st *api.JobStatus) error {
	return json.NewEncoder(w).Encode(statusOutput{
		Job: st.GetJobId(), Verdict: contract.Verdict(st.GetVerdict() - 1).String(), Tasks: st.GetTasks(),
		Waiting: st.GetWaiting(), Running: st.GetRunning(), Finished: st.GetFinished(), DeadlineMS: st.GetDeadlineMs(),
		Priority: st.GetPriority(),
	})
}

type statusOutput struct {
	Job        string `json:"job_id"`
	Verdict    string `json:"verdict"`
	Tasks      uint32 `json:"tasks"`
	Waiting    uint32 `json:"waiting"`
	Running    uint32 `json:"running"`
	Finished   uint32 `json:"finished"`
	DeadlineMS int64  `json:"deadline_ms"`
	Priority   int32  `json:"priority"`
}
