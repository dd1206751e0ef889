package hostile

import (
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cicadadale/cicadadale/standin"
)

const (
	// attackBytes is what each client of a crowd sends beyond the limits.
	attackBytes = 4 << 20
	// smallCrowd clients send much, largeCrowd clients less each.
	smallCrowd = 40
	largeCrowd = 400
	// beyondDescriptors is more connections than the process has descriptors.
	beyondDescriptors = descriptorLimit + 200
	largeChunkBytes   = 32 << 10
	smallChunks       = 40_000
	pipelinedRequests = 20_000
	slowBytes         = 40
	slowInterval      = 50 * time.Millisecond
	hugeBody          = 2 << 30
	bodyRoom          = 1 << 10
)

// Guards against fields of a head that are buffered far beyond its limit.
func TestHeadsOverTheLimit(t *testing.T) {
	d, c := startEdge(t, maxBodyBytes), newCrowd(t)
	field := "X-Field: " + strings.Repeat("f", 8000) + "\r\n"
	c.attack(d.front, smallCrowd, func(w io.Writer) error {
		if err := writeAll(w, d.head()); err != nil {
			return err
		}
		return repeat(w, field, attackBytes)
	})
	d.requireServing()
}

// Guards against a first line that is buffered without end.
func TestHeadLineWithoutEnd(t *testing.T) {
	d, c := startEdge(t, maxBodyBytes), newCrowd(t)
	c.attack(d.front, smallCrowd, func(w io.Writer) error {
		if err := writeAll(w, "GET /"); err != nil {
			return err
		}
		return repeat(w, strings.Repeat("a", 8000), attackBytes)
	})
	d.requireServing()
}

// Guards against empty lines before a request that are buffered without end.
func TestEmptyLinesBeforeARequest(t *testing.T) {
	d, c := startEdge(t, maxBodyBytes), newCrowd(t)
	c.attack(d.front, smallCrowd, func(w io.Writer) error { return repeat(w, strings.Repeat("\r\n", 4000), attackBytes) })
	d.requireServing()
}

// Guards against chunked bodies that are kept beyond the limit of a body.
func TestChunkedBodiesOverTheLimit(t *testing.T) {
	d, c := startEdge(t, maxBodyBytes), newCrowd(t)
	chunk := fmt.Sprintf("%x\r\n%s\r\n", largeChunkBytes, strings.Repeat(" ", largeChunkBytes))
	c.attack(d.front, largeCrowd, func(w io.Writer) error {
		if err := writeAll(w, d.head("Transfer-Encoding: chunked\r\n\r\n")); err != nil {
			return err
		}
		return repeat(w, chunk, 1000<<10)
	})
	d.requireServing()
}

// Guards against many chunked bodies that are inside the limit of a deployment each, stop short of their end and are kept.
func TestUnfinishedChunkedBodies(t *testing.T) {
	d, c := startEdge(t, deployedBodyBytes), newCrowd(t)
	chunk := fmt.Sprintf("%x\r\n%s\r\n", largeChunkBytes, strings.Repeat(" ", largeChunkBytes))
	c.attack(d.front, largeCrowd, func(w io.Writer) error {
		if err := writeAll(w, d.head("Transfer-Encoding: chunked\r\n\r\n")); err != nil {
			return err
		}
		if err := repeat(w, chunk, deployedBodyBytes-2*largeChunkBytes); err != nil {
			return err
		}
		return writeAll(w, chunk[:len(chunk)-3])
	})
	d.requireServing()
}

// Guards against chunks of one byte whose overhead is buffered or keeps the process from its other work.
func TestChunksOfOneByte(t *testing.T) {
	d, c := startEdge(t, maxBodyBytes), newCrowd(t)
	c.attack(d.front, smallCrowd, func(w io.Writer) error {
		if err := writeAll(w, d.head("Transfer-Encoding: chunked\r\n\r\n")); err != nil {
			return err
		}
		return repeat(w, strings.Repeat("1\r\n \r\n", 1000), smallChunks*len("1\r\n \r\n"))
	})
	d.requireServing()
}

// Guards against memory that is reserved for a body because it was announced.
func TestAnnouncedBodies(t *testing.T) {
	d, c := startEdge(t, maxBodyBytes), newCrowd(t)
	for _, announced := range []string{
		fmt.Sprintf("Content-Length: %d\r\n\r\n", hugeBody),
		fmt.Sprintf("Content-Length: %d\r\n\r\n", 1000<<10),
		fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n", hugeBody),
		fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n", 1000<<10),
	} {
		c.attack(d.front, largeCrowd/4, func(w io.Writer) error {
			return writeAll(w, d.head(announced), strings.Repeat(" ", bodyRoom))
		})
	}
	d.requireServing()
}

// Guards against announced bodies that are sent up to their last byte and kept.
func TestUnfinishedBodies(t *testing.T) {
	d, c := startEdge(t, deployedBodyBytes), newCrowd(t)
	c.attack(d.front, largeCrowd, func(w io.Writer) error {
		if err := writeAll(w, d.head(fmt.Sprintf("Content-Length: %d\r\n\r\n", deployedBodyBytes))); err != nil {
			return err
		}
		return writeAll(w, strings.Repeat(" ", deployedBodyBytes-1))
	})
	d.requireServing()
}

// Guards against bodies without a length that are kept.
func TestBodiesWithoutALength(t *testing.T) {
	d, c := startEdge(t, maxBodyBytes), newCrowd(t)
	c.attack(d.front, smallCrowd, func(w io.Writer) error {
		if err := writeAll(w, d.head("\r\n")); err != nil {
			return err
		}
		return repeat(w, strings.Repeat(" ", largeChunkBytes), attackBytes)
	})
	d.requireServing()
}

// Guards against large jobs that are inside the limits each, and of which many are accepted at the same time.
func TestLargeJobsAtTheSameTime(t *testing.T) {
	d, c := startEdge(t, deployedBodyBytes), newCrowd(t)
	job := string(standin.JobDocument("large", 1, taskNeed, estimateMS))
	c.attack(d.front, largeCrowd, func(w io.Writer) error {
		body := job + strings.Repeat(" ", deployedBodyBytes-len(job)-bodyRoom)
		return writeAll(w, d.head(fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body))), body)
	})
	d.requireServing()
}

// Guards against connections that slow senders keep for themselves.
func TestSlowSenders(t *testing.T) {
	d, c := startEdge(t, maxBodyBytes), newCrowd(t)
	sendSlowly := func(w io.Writer) error {
		for range slowBytes {
			if err := writeAll(w, "x"); err != nil {
				return err
			}
			time.Sleep(slowInterval)
		}
		return nil
	}
	var heads sync.WaitGroup
	heads.Go(func() { c.attack(d.front, largeCrowd, sendSlowly) })
	c.attack(d.front, largeCrowd, func(w io.Writer) error {
		if err := writeAll(w, d.head(fmt.Sprintf("Content-Length: %d\r\n\r\n", maxBodyBytes))); err != nil {
			return err
		}
		return sendSlowly(w)
	})
	heads.Wait()
	d.requireServing()
}

// Guards against a process that waits for what the clients of open connections never send.
func TestSilentConnections(t *testing.T) {
	d, c := startEdge(t, maxBodyBytes), newCrowd(t)
	c.attack(d.front, largeCrowd, func(io.Writer) error { return nil })
	d.requireServing()
}

// Guards against answers that are kept for clients which never read them.
func TestClientsThatNeverRead(t *testing.T) {
	d, c := startEdge(t, maxBodyBytes), newCrowd(t)
	request := "GET " + routePrefix + " HTTP/1.1\r\nHost: " + routeHost + "\r\n\r\n"
	c.attack(d.front, smallCrowd, func(w io.Writer) error {
		return repeat(w, strings.Repeat(request, 100), pipelinedRequests*len(request))
	})
	d.requireServing()
}

// Guards against a process that ends, or cannot call its workers, because its clients have taken its descriptors.
func TestConnectionsBeyondTheDescriptors(t *testing.T) {
	d, c := startEdge(t, maxBodyBytes), newCrowd(t)
	c.attack(d.front, beyondDescriptors, func(io.Writer) error { return nil })
	d.requireServing()
}

// Guards against descriptors that clients take at the listeners for the balancer and for the metrics.
func TestConnectionsToReadinessAndMetrics(t *testing.T) {
	d, c := startEdge(t, maxBodyBytes), newCrowd(t)
	for _, address := range []string{d.readiness, d.metrics} {
		c.attack(address, beyondDescriptors/2, func(w io.Writer) error { return writeAll(w, "GET ") })
	}
	d.requireServing()
}

// Guards against heads that are buffered far beyond their limit at the listeners for the balancer and for the metrics.
func TestHeadsAtReadinessAndMetrics(t *testing.T) {
	d, c := startEdge(t, maxBodyBytes), newCrowd(t)
	for _, address := range []string{d.readiness, d.metrics} {
		c.attack(address, smallCrowd, func(w io.Writer) error {
			return repeat(w, "GET /"+strings.Repeat("a", 8000), attackBytes)
		})
	}
	d.requireServing()
}
