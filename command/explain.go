package command

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/app/client"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/urfave/cli/v3"

	"github.com/cicadadale/cicadadale/admin"
	"github.com/cicadadale/cicadadale/edge"
	"github.com/cicadadale/cicadadale/platform"
)

const (
	explainDialTimeout = time.Second
	explainTimeout     = 5 * time.Second
	// maxExplainedTasks bounds the lines about tasks in the text.
	maxExplainedTasks = 24
)

var errStarting = errors.New("the daemon is starting")

// explainer answers what would become of a request, once the daemon has been set.
type explainer struct {
	daemon atomic.Pointer[edge.Daemon]
	now    func() time.Time
}

// query returns the call of the metrics listener.
func (x *explainer) query() admin.Query {
	return admin.Query{Path: platform.ExplainPath, Answer: func(body []byte) (any, error) {
		daemon := x.daemon.Load()
		if daemon == nil {
			return nil, errStarting
		}
		r, err := platform.DecodeExplainRequest(body)
		if err != nil {
			return nil, err
		}
		return platform.Explain(r, daemon, x.now()), nil
	}}
}

func explainCommand() *cli.Command {
	return &cli.Command{
		Name:  "explain",
		Usage: "show what an edge daemon would do with a request now, and why, without sending it",
		Description: "Asks a running edge daemon at its metrics address (listen.metrics). Prints the route that matches and what the " +
			"desired state says of it, the owners of workers with their free capacity, queue and expected wait, whether the job would be " +
			"accepted or refused and why, and the owner at which each task would be ordered. Nothing is accepted, reserved, counted or " +
			"logged. Owners with the same cost are drawn at random, so the owners of tasks may differ from call to call.\n\n" +
			"Example: cicadadale explain --daemon 10.1.0.13:7735 --host nony24.example --path /lohu930/5c0e7a21d94b36f8 --body job.json",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "daemon", Required: true, Usage: "metrics `ADDRESS` of an edge daemon"},
			&cli.StringFlag{Name: "method", Value: http.MethodPost, Usage: "`METHOD` of the request"},
			&cli.StringFlag{Name: "host", Required: true, Usage: "`HOST` header of the request"},
			&cli.StringFlag{Name: "path", Required: true, Usage: "`PATH` of the request; its last part is the id of the job"},
			&cli.StringFlag{Name: "body", Usage: "`FILE` with the body of a submission; - for the standard input"},
			&cli.DurationFlag{Name: "deadline", Usage: "how long the client would wait; the daemon's default if it is not set"},
			&cli.BoolFlag{Name: "json", Usage: "print the answer as JSON"},
		},
		Action: runExplain,
	}
}

func runExplain(ctx context.Context, c *cli.Command) error {
	r := platform.ExplainRequest{Method: strings.ToUpper(c.String("method")), Host: c.String("host"), Path: c.String("path")}
	if d := c.Duration("deadline"); d > 0 {
		r.Deadline = strconv.FormatInt(d.Milliseconds(), 10)
	}
	if file := c.String("body"); file != "" {
		body, err := readBody(file, c.Root().Reader)
		if err != nil {
			return err
		}
		r.Body = body
	}
	answer, err := askExplanation(ctx, c.String("daemon"), r)
	if err != nil {
		return err
	}
	if c.Bool("json") {
		_, err := fmt.Fprintf(c.Root().Writer, "%s\n", answer)
		return err
	}
	var e platform.Explanation
	if err := json.Unmarshal(answer, &e); err != nil {
		return fmt.Errorf("decoding the answer of the daemon: %w", err)
	}
	_, err = io.WriteString(c.Root().Writer, explanationText(e))
	return err
}

// readBody reads the body of a submission from a file, or from the standard input for "-".
func readBody(file string, stdin io.Reader) (json.RawMessage, error) {
	var body []byte
	var err error
	if file == "-" {
		body, err = io.ReadAll(stdin)
	} else {
		body, err = os.ReadFile(file)
	}
	if err != nil {
		return nil, err
	}
	if !json.Valid(body) {
		return nil, fmt.Errorf("explain: %s is not a JSON document", file)
	}
	return body, nil
}

// askExplanation returns the JSON answer of a daemon.
func askExplanation(ctx context.Context, address string, r platform.ExplainRequest) ([]byte, error) {
	body, err := json.Marshal(r)
	if err != nil {
		return nil, err
	}
	h, err := client.NewClient(client.WithDialer(standard.NewDialer()), client.WithDialTimeout(explainDialTimeout))
	if err != nil {
		return nil, err
	}
	req, resp := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(req)
	defer protocol.ReleaseResponse(resp)
	req.SetMethod(http.MethodPost)
	req.SetRequestURI("http://" + address + platform.ExplainPath)
	req.Header.SetContentTypeBytes([]byte("application/json"))
	req.SetBody(body)
	if err := h.DoTimeout(ctx, req, resp, explainTimeout); err != nil {
		return nil, fmt.Errorf("asking %s: %w", address, err)
	}
	if resp.StatusCode() != http.StatusOK {
		return nil, fmt.Errorf("%s answered %d: %s", address, resp.StatusCode(), strings.TrimSpace(string(resp.Body())))
	}
	return append([]byte(nil), resp.Body()...), nil
}

// explanationText formats an explanation for people.
func explanationText(e platform.Explanation) string {
	var b strings.Builder
	fmt.Fprintf(&b, "result    %s\n", e.Result)
	if e.Reason != "" {
		fmt.Fprintf(&b, "reason    %s\n", e.Reason)
	}
	fmt.Fprintf(&b, "daemon    desired state %d, ready %t\n", e.DesiredVersion, e.Ready)
	if r := e.Route; r != nil {
		fmt.Fprintf(&b, "route     %s: host %s, prefix %s, back end %s, priority %d, attempts %d, target %g times the run time and %d ms\n",
			r.Name, r.Host, r.PathPrefix, r.Backend, r.Priority, r.Attempts, r.TargetFactor, r.TargetMs)
	}
	writeExplainedJob(&b, e.Job)
	for _, o := range e.Owners {
		fmt.Fprintf(&b, "owner     %s in %s: %d of %d free%s, expected wait %d ms, order %d ms, waiting by priority %v ms%s\n",
			o.Owner, o.Domain, o.Free, o.Slots, mark(o.SlowFree > 0, fmt.Sprintf(" (%d on slow workers)", o.SlowFree)), o.WaitMs, o.CostMs, o.WaitingMs, mark(o.Leaving, ", leaving"))
	}
	writeExplainedTasks(&b, e.Tasks)
	return b.String()
}

func writeExplainedJob(b *strings.Builder, j *platform.ExplainedJob) {
	if j == nil {
		return
	}
	wait := fmt.Sprintf("%d ms", j.WaitMs)
	if j.WaitMs < 0 {
		wait = "not known, no owner"
	}
	fmt.Fprintf(b, "job       %s: expected run %d ms, expected wait %s", j.ID, j.ExpectedMs, wait)
	if j.Accepted {
		fmt.Fprintf(b, ", target in %d ms, answer within %d ms", j.TargetInMs, j.AnswerInMs)
	}
	if j.RetryAfterMs > 0 {
		fmt.Fprintf(b, ", retry after %d ms", j.RetryAfterMs)
	}
	if j.EarlierHome != "" {
		fmt.Fprintf(b, ", held by %s", j.EarlierHome)
	}
	b.WriteString("\n")
}

func writeExplainedTasks(b *strings.Builder, tasks []platform.ExplainedTask) {
	for i, t := range tasks {
		if i == maxExplainedTasks {
			fmt.Fprintf(b, "          and %d more tasks\n", len(tasks)-i)
			return
		}
		fmt.Fprintf(b, "task      %d.%d: ", t.Step, t.Index)
		if t.Owner == "" {
			fmt.Fprintf(b, "%s\n", t.Reason)
			continue
		}
		fmt.Fprintf(b, "ordered from %s%s%s\n", t.Owner, mark(t.OnlyWorker != "", ", only on "+t.OnlyWorker),
			mark(t.Alone, ", alone on its worker"))
	}
}

// mark returns a text if a condition holds.
func mark(condition bool, text string) string {
	if condition {
		return text
	}
	return ""
}
