package load

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/app/client"

	"github.com/cicadadale/cicadadale/metric"
)

const metricsTimeout = 2 * time.Second

// readAllInvariants reads the invariant counters of all daemons in service.
func (s *Soak) readAllInvariants() {
	s.mu.Lock()
	entries := append([]*EntryProcess(nil), s.entries...)
	s.mu.Unlock()
	for _, p := range entries {
		if p.Serving() {
			s.readInvariants(p)
		}
	}
}

// readInvariants adds the counts of a daemon's own invariant checks. Counts of a daemon that does not answer are lost.
func (s *Soak) readInvariants(p *EntryProcess) {
	counters, err := daemonMetrics(p.Admin)
	if err != nil {
		return
	}
	s.countChecks(CheckDaemonInvariants, counters[metric.InvariantChecks])
	if n := counters[metric.InvariantViolations]; n > 0 {
		s.reportViolation(Violation{Check: CheckDaemonInvariants, Job: "-", Task: "-", At: time.Now(), Observed: fmt.Sprintf(
			"daemon of %s reports %d violations, see %s", p.ID, n, p.log)})
	}
}

// daemonMetrics reads the invariant counters from an admin endpoint, by their names in package metric.
func daemonMetrics(address string) (map[string]int, error) {
	c, err := client.NewClient()
	if err != nil {
		return nil, err
	}
	defer c.CloseIdleConnections()
	ctx, cancel := context.WithTimeout(context.Background(), metricsTimeout)
	defer cancel()
	status, body, err := c.GetTimeout(ctx, nil, "http://"+address+"/metrics", metricsTimeout)
	if err != nil || status != 200 {
		return nil, fmt.Errorf("metrics of %s: status %d: %w", address, status, err)
	}
	out := make(map[string]int)
	for line := range strings.Lines(string(body)) {
		name, value, ok := strings.Cut(strings.TrimSpace(line), " ")
		n, err := strconv.Atoi(value)
		if !ok || err != nil {
			continue
		}
		for _, known := range []string{metric.InvariantChecks, metric.InvariantViolations} {
			if name == "cicadadale_"+strings.ReplaceAll(known, ".", "_")+"_total" {
				out[known] = n
			}
		}
	}
	return out, nil
}
