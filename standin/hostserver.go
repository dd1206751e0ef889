package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/internal/httpserve"
	"github.com/cicadadale/cicadadale/link"
)

// unansweredTimeout is how long a call that gets no answer waits until its connection is closed.
const unansweredTimeout = 3 * time.Second

// HostServer serves a RunHost over HTTP, with the protocol of the users' platform.
type HostServer struct {
	host   *RunHost
	id     string
	server *httpserve.Server
	// faultyAnswers is the fault of the answers, of type AnswerFault.
	faultyAnswers atomic.Int32
}

// AnswerFault is a way in which the answers of a worker are not whole.
type AnswerFault int32

// Faults of answers.
const (
	// AnswersWhole is no fault.
	AnswersWhole AnswerFault = iota
	// AnswersEmpty have their status and no body.
	AnswersEmpty
	// AnswersCut end in the middle of the body, though its length is that of the whole body.
	AnswersCut
	// AnswersBare have a JSON object without any field as their body.
	AnswersBare
)

// SetAnswerFault makes the worker execute calls and answer them with a fault, or ends that.
func (s *HostServer) SetAnswerFault(f AnswerFault) { s.faultyAnswers.Store(int32(f)) }

// spoil applies the fault of the answers to one.
func (s *HostServer) spoil(c *app.RequestContext) {
	switch AnswerFault(s.faultyAnswers.Load()) {
	case AnswersEmpty:
		c.Response.ResetBody()
	case AnswersBare:
		c.Response.SetBodyString("{}")
	case AnswersCut:
		body := c.Response.Body()
		head := fmt.Sprintf("HTTP/1.1 %d -\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n",
			c.Response.StatusCode(), len(body))
		// The caller may have closed the connection.
		_, _ = c.GetConn().Write(append([]byte(head), body[:len(body)/2]...))
		dropConnection(c)
	}
}

// ServeHost serves a worker on l in the background.
func ServeHost(l net.Listener, id string, host *RunHost) *HostServer {
	s := &HostServer{host: host, id: id, server: httpserve.New(l, nil)}
	s.server.POST("/-/run-start", s.serve(s.start))
	s.server.POST("/-/run-stop", s.serve(s.stop))
	s.server.POST("/-/hold", s.serve(s.poll))
	s.server.Start()
	return s
}

// Close stops the server.
func (s *HostServer) Close() error { return s.server.Stop() }

// hostCall is the union of the bodies of all calls to a worker.
type hostCall struct {
	Task     string `json:"task"`
	Run      uint64 `json:"run_id"`
	Spec     string `json:"task_spec"`
	Until    int64  `json:"until_ms"`
	Token    uint64 `json:"fencing_token"`
	LastSeen uint64 `json:"last_seen"`
	Wait     int64  `json:"wait_ms"`
}

// hostAnswer is the union of the bodies of all answers of a worker.
type hostAnswer struct {
	Clock  int64  `json:"clock_ms"`
	Born   int64  `json:"born,omitempty"`
	Reason string `json:"reason,omitempty"`
}

// listAnswer is the answer to a poll.
type listAnswer struct {
	hostAnswer
	Running [][]any `json:"running"`
	Ended   [][]any `json:"ended_runs"`
}

// serve decodes a call and passes it to handle. It rejects a call that is malformed or for another worker.
func (s *HostServer) serve(handle func(ctx context.Context, c *app.RequestContext, call hostCall)) app.HandlerFunc {
	return func(ctx context.Context, c *app.RequestContext) {
		if target := string(c.GetHeader("Target-Instance")); target != s.id {
			c.SetStatusCode(http.StatusMisdirectedRequest)
			return
		}
		var call hostCall
		if err := json.Unmarshal(c.Request.Body(), &call); err != nil {
			c.SetStatusCode(http.StatusBadRequest)
			return
		}
		ctx, cancel := context.WithTimeout(ctx, unansweredTimeout)
		defer cancel()
		handle(ctx, c, call)
		s.spoil(c)
	}
}

// key returns the run that a call concerns. Task names have the form that taskName returns.
func (c hostCall) key() contract.RunKey {
	parts := strings.Split(c.Task, ".")
	if len(parts) != 4 {
		return contract.RunKey{Batch: c.Task, Run: c.Run}
	}
	// Task names that this project's daemon does not write count as step 0 and index 0.
	step, _ := strconv.Atoi(parts[2])
	index, _ := strconv.Atoi(parts[3])
	return contract.RunKey{Batch: parts[0], Step: step, Index: index, Run: c.Run}
}

// taskName returns the platform's name of a task: job, occurrence, step and index. The occurrence is always 0.
func taskName(k contract.RunKey) string { return fmt.Sprintf("%s.0.%d.%d", k.Batch, k.Step, k.Index) }

var startReasons = map[link.StartVerdict]string{
	link.StartFenced: "fence", link.StartSuperseded: "old", link.StartExpired: "late", link.StartNoCapacity: "room",
}

func (s *HostServer) start(ctx context.Context, c *app.RequestContext, call hostCall) {
	verdict, reply, err := s.host.Start(ctx, link.HostStart{
		Key: call.key(), Spec: []byte(call.Spec), LeaseEnd: time.Duration(call.Until) * time.Millisecond,
		Token: call.Token,
	})
	out := hostAnswer{Clock: reply.Clock.Milliseconds()}
	switch {
	case err != nil:
		dropConnection(c)
	case verdict == link.StartAccepted:
		c.JSON(http.StatusOK, out)
	case verdict == link.StartUnhealthy:
		c.JSON(http.StatusServiceUnavailable, out)
	default:
		out.Reason = startReasons[verdict]
		c.JSON(http.StatusConflict, out)
	}
}

// dropConnection closes the connection of a call that gets no answer.
func dropConnection(c *app.RequestContext) {
	c.SetConnectionClose()
	// Closing the connection without writing makes a late answer impossible. An error can be ignored, since the
	// connection is not used any more.
	_ = c.GetConn().Close()
}

func (s *HostServer) stop(ctx context.Context, c *app.RequestContext, call hostCall) {
	reply, err := s.host.Stop(ctx, call.key(), call.Token)
	if out, ok := s.admitted(c, reply, err); ok {
		c.JSON(http.StatusOK, out)
	}
}

func (s *HostServer) poll(ctx context.Context, c *app.RequestContext, call hostCall) {
	reply, err := s.host.Poll(ctx, link.HostPoll{
		Token: call.Token, LastOutcome: call.LastSeen, LeaseEnd: time.Duration(call.Until) * time.Millisecond,
		Wait: time.Duration(call.Wait) * time.Millisecond,
	})
	admitted, ok := s.admitted(c, reply.HostReply, err)
	if !ok {
		return
	}
	out := listAnswer{hostAnswer: admitted, Running: [][]any{}, Ended: [][]any{}}
	// The empty columns are the checkpoints, which this worker does not have.
	for _, r := range reply.Running {
		out.Running = append(out.Running, []any{taskName(r.Key), r.Key.Run, "", r.Progress})
	}
	for _, e := range reply.Ended {
		name, ok := outcomeNames[e.State]
		if !ok {
			name = "stopped"
		}
		out.Ended = append(out.Ended, []any{e.Number, taskName(e.Key), e.Key.Run, name, ""})
	}
	c.JSON(http.StatusOK, out)
}

var outcomeNames = map[contract.RunState]string{contract.RunDone: "done", contract.RunFailed: "failed"}

// admitted returns the common part of the answer to a call. It answers a call that fails or is fenced itself, and returns
// false.
func (s *HostServer) admitted(c *app.RequestContext, reply link.HostReply, err error) (hostAnswer, bool) {
	if err != nil {
		dropConnection(c)
		return hostAnswer{}, false
	}
	out := hostAnswer{Clock: reply.Clock.Milliseconds(), Born: reply.StartTime}
	if reply.Fenced {
		out.Reason = "fence"
		c.JSON(http.StatusConflict, out)
		return hostAnswer{}, false
	}
	return out, true
}
