package hostile

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cicadadale/cicadadale/standin"
)

const (
	// waitingJobBytes is a little less than what a request may have as a part of its connection's share of the memory.
	waitingJobBytes = 7 << 10
	hourMS          = 3_600_000
	// longIdleTimeoutMS is longer than a test waits.
	longIdleTimeoutMS = 600_000
	jobsOfAClient     = 100
	shortRunTime      = 5 * time.Millisecond
	// Short jobs end sooner, so that more of them are kept at the same time.
	shortJobsOfAClient = 500
	// Answers without a run come sooner, so that more of them are kept at the same time.
	hopelessJobsOfAClient = 4_000
	cancelsOfAClient      = 4_000
)

// Guards against answered connections that stay and take the place of other clients' ones.
func TestAnsweredConnectionsThatStay(t *testing.T) {
	d, c := startEdgeWith(t, edgeOptions{bodyBytes: maxBodyBytes, idleTimeoutMS: longIdleTimeoutMS, runTime: runTime}), newCrowd(t)
	c.attackReading(d.front, beyondDescriptors, func(w io.Writer) error {
		return writeAll(w, "GET "+routePrefix+" HTTP/1.1\r\nHost: "+routeHost+"\r\n\r\n")
	})
	d.requireServing()
}

// Guards against bodies that stop short of their end and keep the room for those of other clients.
func TestUnfinishedBodiesThatStay(t *testing.T) {
	d, c := startEdgeWith(t, edgeOptions{bodyBytes: deployedBodyBytes, idleTimeoutMS: longIdleTimeoutMS, runTime: runTime}), newCrowd(t)
	c.attack(d.front, largeCrowd, func(w io.Writer) error {
		if err := writeAll(w, d.head(fmt.Sprintf("Content-Length: %d\r\n\r\n", deployedBodyBytes))); err != nil {
			return err
		}
		return writeAll(w, strings.Repeat(" ", deployedBodyBytes-1))
	})
	d.requireLargeJobAnswered(deployedBodyBytes - bodyRoom)
	d.requireServing()
}

// Guards against what jobs hold that wait for room at a worker.
func TestJobsThatWait(t *testing.T) {
	d, c := startEdge(t, maxBodyBytes), newCrowd(t)
	job := string(standin.JobDocument("waiting", 1, workerCapacity, hourMS))
	body := job + strings.Repeat(" ", waitingJobBytes-len(job))
	c.attackReading(d.front, largeCrowd, func(w io.Writer) error {
		return writeAll(w, d.head(fmt.Sprintf("Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n", hourMS, len(body))), body)
	})
	d.requireServing()
}

// Guards against what is kept of jobs that have ended.
func TestManySmallJobsOfEachClient(t *testing.T) {
	d, c := startEdge(t, maxBodyBytes), newCrowd(t)
	body := string(standin.JobDocument("small", 1, taskNeed, estimateMS))
	c.attack(d.front, largeCrowd, exchanges(jobsOfAClient, func(w io.Writer) error {
		return writeAll(w, d.head(fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body))), body)
	}))
	d.requireServing()
}

// Guards against what is kept of jobs that have ended while far more of them come than a deployment has.
func TestManyShortJobsOfEachClient(t *testing.T) {
	d, c := startEdgeWith(t, edgeOptions{bodyBytes: maxBodyBytes, idleTimeoutMS: idleTimeoutMS, runTime: shortRunTime}), newCrowd(t)
	body := string(standin.JobDocument("short", 1, taskNeed, int(shortRunTime.Milliseconds())))
	c.attack(d.front, largeCrowd, exchanges(shortJobsOfAClient, func(w io.Writer) error {
		return writeAll(w, d.head(fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body))), body)
	}))
	d.requireServing()
}

// Guards against what is kept of jobs that cannot be served in time and are answered at once.
func TestManyHopelessJobsOfEachClient(t *testing.T) {
	d, c := startEdge(t, maxBodyBytes), newCrowd(t)
	body := string(standin.JobDocument("hopeless", 1, taskNeed, estimateMS))
	c.attack(d.front, largeCrowd, exchanges(hopelessJobsOfAClient, func(w io.Writer) error {
		return writeAll(w, d.head(fmt.Sprintf("Deadline-Ms: 1\r\nContent-Length: %d\r\n\r\n", len(body))), body)
	}))
	d.requireServing()
}

// Guards against what is kept of cancels whose jobs nobody has submitted.
func TestCancelsOfUnknownJobs(t *testing.T) {
	d, c := startEdge(t, maxBodyBytes), newCrowd(t)
	c.attack(d.front, largeCrowd, exchanges(cancelsOfAClient, func(w io.Writer) error {
		return writeAll(w, "DELETE "+routePrefix+d.nextJob()+" HTTP/1.1\r\nHost: "+routeHost+"\r\n\r\n")
	}))
	d.requireServing()
}

// exchanges returns a client that sends requests one after another and reads the answer to each.
func exchanges(requests int, request func(w io.Writer) error) func(w io.Writer) error {
	return func(w io.Writer) error {
		answers := bufio.NewReader(w.(timedWriter))
		for range requests {
			if err := request(w); err != nil {
				return err
			}
			resp, err := http.ReadResponse(answers, nil)
			if err != nil {
				return err
			}
			if err := resp.Body.Close(); err != nil {
				return err
			}
		}
		return nil
	}
}

// Guards against places that are not given back when clients leave, and against newcomers that keep each other out.
func TestUnfinishedRequestsOfClientsThatComeBack(t *testing.T) {
	d, c := startEdge(t, maxBodyBytes), newCrowd(t)
	c.attackAgain(d.front, smallCrowd, func(w io.Writer) error {
		return writeAll(w, d.head(fmt.Sprintf("Content-Length: %d\r\n\r\n", maxBodyBytes)), strings.Repeat(" ", maxBodyBytes-1))
	})
	for range repeatedChecks {
		d.requireServing()
	}
}

// Guards against checks and metrics that get no answer while a crowd is connected to the front.
func TestReadinessAndMetricsDuringAnAttack(t *testing.T) {
	d, c := startEdge(t, maxBodyBytes), newCrowd(t)
	c.attack(d.front, beyondDescriptors, func(w io.Writer) error { return writeAll(w, d.head()) })
	d.requireOK("http://" + d.readiness + "/-/ready")
	d.requireOK("http://" + d.metrics + "/metrics")
	d.requireServing()
}
