package edge

import (
	"fmt"
	"regexp"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadadale/cicadadale/batch"
	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/standin"
)

const (
	traceHome  = "edge-0-0"
	traceOwner = "edge-0-1"
	// traceJobPrefix is completed by a number.
	traceJobPrefix = "000000000000aa"
)

// attribute returns the value of an attribute of a log line, or the empty string.
func attribute(line, name string) string {
	m := regexp.MustCompile(` ` + name + `=(?:"([^"]*)"|(\S*))`).FindStringSubmatch(line)
	if m == nil {
		return ""
	}
	return m[1] + m[2]
}

// linesOf returns the log lines with a message that name a task or a run.
func linesOf(d *deployment, name, message string) []string {
	var found []string
	for _, line := range d.log.linesWith(name) {
		if attribute(line, "msg") == message {
			found = append(found, line)
		}
	}
	return found
}

// runTwice lets a job run while f disturbs the worker of one of its tasks, whose owner is not its home. It returns the
// name of the task and the worker of its first run.
func runTwice(t *testing.T, d *deployment, f func(worker string)) (task, worker string) {
	t.Helper()
	d.plan = func(contract.RunKey) standin.RunPlan { return standin.RunPlan{Duration: 900 * time.Millisecond} }
	var answer <-chan batch.Answer
	// Owners are drawn at random, so a job may have no task at the other one.
	for i := 0; i < 10 && task == ""; i++ {
		if answer != nil {
			<-answer
		}
		job := fmt.Sprintf("%s%02x", traceJobPrefix, i)
		answer = d.submit(traceHome, testJob(job, 10, 10*time.Second))
		time.Sleep(100 * time.Millisecond)
		for _, line := range linesOf(d, job, "sending a start") {
			if attribute(line, "vm") == traceOwner {
				name := attribute(line, "task")
				task, worker = regexp.MustCompile(`^[^#]*#`).FindString(name), attribute(line, "worker")
			}
		}
	}
	require.NotEmpty(t, task, "a task of %s that %s has started", traceHome, traceOwner)
	f(worker)
	require.Equal(t, batch.Completed, (<-answer).Outcome)
	time.Sleep(time.Second)
	return task, worker
}

// Guards against two runs of a task of which the log does not show who started them where, and what proved the end of
// the first one.
func TestLogShowsBothRunsOfATaskAndTheProofBetween(t *testing.T) {
	tests := []struct {
		name    string
		disturb func(d *deployment, worker string)
		// atOwner is the proof at the owner of the first run; empty if the owner is cut off as well.
		atOwner string
		atHome  string
	}{
		{"worker cut off", func(d *deployment, worker string) {
			d.net.setCut(func(a, b string) bool { return a == worker || b == worker })
		}, "lease expired on worker clock", "reported by owner"},
		{"worker restarted", func(d *deployment, worker string) {
			d.hosts[worker].Crash()
			d.hosts[worker].Restart()
		}, "worker restarted", "reported by owner"},
		{"worker and owner cut off", func(d *deployment, worker string) {
			cut := func(m string) bool { return m == worker || m == traceOwner }
			d.net.setCut(func(a, b string) bool { return cut(a) || cut(b) })
		}, "", "time since last contact"},
		{"owner cut off from its worker restarted behind the cut", func(d *deployment, worker string) {
			d.net.setCut(func(a, b string) bool { return a == traceOwner || b == traceOwner })
			d.hosts[worker].Crash()
			d.hosts[worker].Restart()
		}, "", "not listed at takeover"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				// With a third member, the home stays in contact with a majority when the owner is cut off.
				d := newDeployment(t, 1, 3, 6)
				defer d.close()
				task, worker := runTwice(t, d, func(worker string) { test.disturb(d, worker) })
				requireTrace(t, d, task, worker, test.atOwner, test.atHome)
			})
		})
	}
}

// requireTrace checks the log lines that name a task with two runs.
func requireTrace(t *testing.T, d *deployment, task, worker, atOwner, atHome string) {
	t.Helper()
	starts := linesOf(d, task, "sending a start")
	require.Len(t, starts, 2)
	var runs [2]string
	for i, line := range starts {
		for _, name := range []string{"vm", "worker", "token", "worker_start", "lease_end"} {
			require.NotEmpty(t, attribute(line, name), "%s of %s", name, line)
		}
		runs[i] = attribute(line, "task")
		// A queued run that was moved to another owner has an order of its own and no start.
		orders := linesOf(d, runs[i], "tasks ordered")
		require.Len(t, orders, 1)
		require.Equal(t, traceHome, attribute(orders[0], "vm"))
		require.Contains(t, attribute(orders[0], "tasks"), runs[i]+" at "+attribute(line, "vm")+"/")
		started := linesOf(d, runs[i], "run started")
		require.Len(t, started, 1)
		require.Equal(t, attribute(line, "token"), attribute(started[0], "token"))
	}
	require.Equal(t, traceOwner, attribute(starts[0], "vm"))
	require.Equal(t, worker, attribute(starts[0], "worker"))
	over := linesOf(d, runs[0], "run is over; its task may be ordered again")
	require.Len(t, over, 1)
	require.Equal(t, atHome, attribute(over[0], "proof"))
	require.Equal(t, attribute(starts[0], "token"), attribute(over[0], "token"))
	require.Equal(t, worker, attribute(over[0], "worker"))
	requireEnd(t, d, starts[1], "end listed")
	if atOwner != "" {
		requireEnd(t, d, starts[0], atOwner)
	}
}

// requireEnd checks the line about the end of a run at its owner.
func requireEnd(t *testing.T, d *deployment, start, proof string) {
	t.Helper()
	ended := linesOf(d, attribute(start, "task"), "run ended")
	require.Len(t, ended, 1)
	require.Equal(t, proof, attribute(ended[0], "proof"))
	for _, name := range []string{"vm", "worker", "token", "worker_start"} {
		require.Equal(t, attribute(start, name), attribute(ended[0], name), name)
	}
}
