package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

// outcome is what a client has seen of one request.
type outcome struct {
	job    string
	sent   time.Time
	ended  time.Time
	status int
	body   string
	// cut is set if the channel ended without a complete answer.
	cut error
	// timedOut is set if the client's time limit passed.
	timedOut bool
}

func (o outcome) String() string {
	took := o.ended.Sub(o.sent).Seconds()
	switch {
	case o.timedOut:
		return fmt.Sprintf("no answer within the time limit, %.3f s", took)
	case o.cut != nil:
		return fmt.Sprintf("channel ended without an answer after %.3f s: %v", took, o.cut)
	default:
		return fmt.Sprintf("%d %s after %.3f s", o.status, strings.TrimSpace(o.body), took)
	}
}

func newJobID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// jobBody encodes a job that need not be stored.
func jobBody(steps []step) []byte {
	var rows []map[string]any
	for _, s := range steps {
		row := map[string]any{
			"count": s.count, "cpu": s.cpu, "mem_mb": 64, "estimate_ms": max(s.work.Milliseconds(), 1),
		}
		if s.requires != "" {
			row["requires"] = s.requires
		}
		if s.perNode > 0 {
			row["anti_affinity"] = s.perNode
		}
		if len(s.depends) > 0 {
			row["depends_on"] = s.depends
		}
		rows = append(rows, row)
	}
	body, _ := json.Marshal(map[string]any{"task_spec": "work", "best_effort": true, "steps": rows})
	return body
}

// channel is an open connection of a client to a daemon.
type channel struct {
	conn   net.Conn
	reader *bufio.Reader
}

func openChannel(address string) (*channel, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &channel{conn: conn, reader: bufio.NewReader(conn)}, nil
}

// send writes one request.
func (c *channel) send(method, path string, limit time.Duration, body []byte) error {
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\nDeadline-Ms: %d\r\n"+
		"Content-Length: %d\r\n\r\n", method, path, routeHost, limit.Milliseconds(), len(body))
	_, err := c.conn.Write(append([]byte(head), body...))
	return err
}

// receive reads one answer.
func (c *channel) receive(o *outcome, limit time.Duration) {
	_ = c.conn.SetReadDeadline(o.sent.Add(limit))
	resp, err := http.ReadResponse(c.reader, nil)
	var text []byte
	if err == nil {
		text, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
	}
	o.ended = time.Now()
	var timeout net.Error
	switch {
	case errors.As(err, &timeout) && timeout.Timeout():
		o.timedOut = true
	case err != nil:
		o.cut = err
	default:
		o.status, o.body = resp.StatusCode, string(text)
	}
}

// submit sends a job over a new channel and returns at once; the outcome follows on the channel returned.
func (r *rig) submit(d *daemon, prefix, id string, steps []step, limit time.Duration) <-chan outcome {
	r.plans.add(id, steps)
	done := make(chan outcome, 1)
	o := outcome{job: id, sent: time.Now()}
	c, err := openChannel(d.front)
	if err == nil {
		err = c.send(http.MethodPost, prefix+id, limit, jobBody(steps))
	}
	if err != nil {
		o.cut, o.ended = err, time.Now()
		done <- o
		return done
	}
	r.rec.line("client: job %s sent to %s, time limit %v", id, d.vm, limit)
	go func() {
		defer func() { _ = c.conn.Close() }()
		c.receive(&o, limit)
		r.rec.line("client: job %s at %s: %v", id, d.vm, o)
		done <- o
	}()
	return done
}
