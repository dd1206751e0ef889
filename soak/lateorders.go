package soak

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/standin"
)

const (
	// minOrderDelay and maxOrderDelay bound the time after which late starts are executed, stopDelay is how much later stops are.
	minOrderDelay = 2 * time.Second
	maxOrderDelay = 6 * time.Second
	stopDelay     = 6 * time.Second
	// minLateSpan and maxLateSpan bound the time for which the orders to a worker are late: long enough for a lease to pass after the
	// withdrawal of a run whose stop is late too.
	minLateSpan = 1500 * time.Millisecond
	maxLateSpan = 4 * time.Second
	// minFirstLimit and maxFirstLimit bound the time limit of the first submission of a job while orders are late.
	minFirstLimit = 300 * time.Millisecond
	maxFirstLimit = time.Second
)

// delayOrders makes a worker leave its starts and stops without an answer and execute them seconds later, with leases that count from
// then. It answers its lists. Clients give the first submission of a job little time, so that they send jobs again whose starts are late.
func (s *Soak) delayOrders(rng *rand.Rand) string {
	w := s.randomWorker(rng)
	delay := minOrderDelay + time.Duration(rng.Int64N(int64(maxOrderDelay-minOrderDelay)))
	span := minLateSpan + time.Duration(rng.Int64N(int64(maxLateSpan-minLateSpan)))
	fault := s.late.beginHold()
	s.lateOrders.Add(1)
	before, _ := w.host.LateOrderCounts()
	w.host.SetLateOrders(standin.LateOrders{
		StartDelay: delay, StopDelay: delay + stopDelay,
		Of: func(key contract.RunKey) bool {
			s.late.prolong(key.Task(), fault, time.Now().Add(delay+runMargin))
			return true
		},
	})
	time.Sleep(span)
	w.host.EndLateOrders()
	s.lateOrders.Add(-1)
	s.late.endHold()
	delayed, _ := w.host.LateOrderCounts()
	return fmt.Sprintf("%s, %d orders late by %v", w.id, delayed-before, delay)
}

// firstLimit returns the time limit of the first submission of a job that is submitted now; zero for that of the job.
func (s *Soak) firstLimit(rng *rand.Rand) time.Duration {
	if s.lateOrders.Load() == 0 {
		return 0
	}
	return minFirstLimit + time.Duration(rng.Int64N(int64(maxFirstLimit-minFirstLimit)))
}

// lateOrdersExecuted returns the number of late starts of all workers that have begun a run.
func (s *Soak) lateOrdersExecuted() int {
	n := 0
	for _, w := range s.workers {
		_, begun := w.host.LateOrderCounts()
		n += begun
	}
	return n
}
