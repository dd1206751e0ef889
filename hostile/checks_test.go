package hostile

import (
	"fmt"
	"io"
	"strings"
	"testing"
)

// attackWithBodies sends what breaks the limits of bodies and empty lines to a listener for checks or operators, one crowd after another.
func (c *crowd) attackWithBodies(address, path string) {
	c.t.Helper()
	head := "POST " + path + " HTTP/1.1\r\nHost: checks\r\n"
	chunked := func(size, chunks int) string {
		chunk := fmt.Sprintf("%x\r\n%s\r\n", size, strings.Repeat(" ", size))
		return head + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat(chunk, chunks) + chunk[:len(chunk)-3]
	}
	announced := fmt.Sprintf("%sContent-Length: %d\r\n\r\n", head, hugeBody)
	for _, text := range []string{
		strings.Repeat("\r\n", attackBytes/2), chunked(largeChunkBytes, attackBytes/largeChunkBytes), chunked(1, smallChunks), announced,
		announced + strings.Repeat(" ", attackBytes), head + "\r\n" + strings.Repeat(" ", attackBytes),
	} {
		c.attack(address, smallCrowd, func(w io.Writer) error { return writeAll(w, text) })
	}
}

// Guards against bodies and empty lines that are kept at the listeners for the balancer and for the metrics.
func TestBodiesAtReadinessAndMetrics(t *testing.T) {
	d, c := startEdge(t, maxBodyBytes), newCrowd(t)
	c.attackWithBodies(d.readiness, "/-/ready")
	c.attackWithBodies(d.metrics, "/explain")
	d.requireOK("http://" + d.readiness + "/-/ready")
	d.requireOK("http://" + d.metrics + "/metrics")
	d.requireServing()
}

// Guards against bodies and empty lines that are kept at the listener for operators of the entry daemon.
func TestEntryBodiesAtAdmin(t *testing.T) {
	d, c := startEntry(t), newCrowd(t)
	c.attackWithBodies(d.admin, "/events")
	d.requireOK("http://" + d.admin + "/metrics")
	d.requireServing()
}
