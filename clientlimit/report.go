package clientlimit

import (
	"log/slog"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/cicadadale/cicadadale/metric"
)

// logInterval is the shortest time between two log lines for one kind of refusal.
const logInterval = 5 * time.Second

// counters counts the refusals by their reason.
type counters [refusals]metrics.Counter

func newCounters(r metrics.Registry) counters {
	return counters{
		HeadTooLarge: metrics.GetOrRegisterCounter(metric.ClientsHeadTooLarge, r),
		BodyTooLarge: metrics.GetOrRegisterCounter(metric.ClientsBodyTooLarge, r),
		TooSlow:      metrics.GetOrRegisterCounter(metric.ClientsTooSlow, r),
		Malformed:    metrics.GetOrRegisterCounter(metric.ClientsMalformed, r),
		NoRoom:       metrics.GetOrRegisterCounter(metric.ClientsNoRoom, r),
		NoConnection: metrics.GetOrRegisterCounter(metric.ClientsNoConnection, r),
		Evicted:      metrics.GetOrRegisterCounter(metric.ClientsEvicted, r),
	}
}

// refusalLog logs refusals, of each kind at most one line each logInterval. mu guards the fields below it.
type refusalLog struct {
	logger  *slog.Logger
	address string

	mu sync.Mutex
	// Accepted stands for connections that could not be accepted.
	last    [refusals]time.Time
	dropped [refusals]int
}

// due reports whether a line is due, and how many were not logged since the last one.
func (l *refusalLog) due(r Refusal, now time.Time) (dropped int, due bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.last[r]) < logInterval {
		l.dropped[r]++
		return 0, false
	}
	dropped = l.dropped[r]
	l.last[r], l.dropped[r] = now, 0
	return dropped, true
}

func (l *refusalLog) refused(r Refusal, t *Table) {
	if dropped, due := l.due(r, time.Now()); due {
		l.logger.Warn("client refused: "+r.String(), "listener", l.address, "connections", t.Open(), "not_logged", dropped)
	}
}

func (l *refusalLog) acceptFailed(err error) {
	if dropped, due := l.due(Accepted, time.Now()); due {
		l.logger.Error("accepting a connection failed; trying again", "listener", l.address, "error", err, "not_logged", dropped)
	}
}
