package soak

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/cicadadale/cicadadale/standin"
)

const (
	// defaultWaveShare and defaultWaveDown are the share of the workers that a wave ends, and for how long.
	defaultWaveShare = 0.17
	defaultWaveDown  = 500 * time.Millisecond
)

func (s *Soak) crashWorker(rng *rand.Rand) string {
	w := s.randomWorker(rng)
	if !w.crashing.TryLock() {
		return ""
	}
	defer w.crashing.Unlock()
	w.host.Crash()
	time.Sleep(faultDuration(rng))
	w.host.Restart()
	// The server list is updated only some time after the new incarnation has started.
	time.Sleep(faultDuration(rng) / 2)
	s.putEntry(w)
	return w.id
}

// exit ends the process of a worker: it refuses connections and its runs are over. It reports false if the worker is
// already down.
func (w *worker) exit() bool {
	if !w.crashing.TryLock() {
		return false
	}
	w.relay.StopListening()
	w.host.Crash()
	return true
}

// startAgain starts the next incarnation of a worker that has exited, at the same address.
func (s *Soak) startAgain(w *worker) {
	defer w.crashing.Unlock()
	w.host.Restart()
	if err := w.relay.Listen(); err != nil {
		s.reportViolation("worker_listens", err.Error())
	}
	s.putEntry(w)
}

func (s *Soak) exitWorker(rng *rand.Rand) string {
	w := s.randomWorker(rng)
	if !w.exit() {
		return ""
	}
	time.Sleep(faultDuration(rng))
	s.startAgain(w)
	return w.id
}

// exitWave ends a share of the workers at once and starts them again after a fixed time.
func (s *Soak) exitWave(rng *rand.Rand) string {
	share, down := s.o.WaveShare, s.o.WaveDown
	if share <= 0 {
		share = defaultWaveShare
	}
	if down <= 0 {
		down = defaultWaveDown
	}
	var exited []*worker
	for _, n := range rng.Perm(len(s.workers))[:int(math.Ceil(share*float64(len(s.workers))))] {
		if w := s.workers[n]; w.exit() {
			exited = append(exited, w)
		}
	}
	time.Sleep(down)
	for _, w := range exited {
		s.startAgain(w)
	}
	return fmt.Sprintf("%d workers", len(exited))
}

// spoilAnswers makes a worker execute its calls and answer them with bodies that are not whole.
func (s *Soak) spoilAnswers(rng *rand.Rand) string {
	w := s.randomWorker(rng)
	kinds := []standin.AnswerFault{standin.AnswersEmpty, standin.AnswersCut, standin.AnswersBare}
	w.server.SetAnswerFault(kinds[rng.IntN(len(kinds))])
	time.Sleep(faultDuration(rng))
	w.server.SetAnswerFault(standin.AnswersWhole)
	return w.id
}

// onWorker applies a fault to a random worker for a random time.
func (s *Soak) onWorker(rng *rand.Rand, set func(h *standin.RunHost, on bool)) string {
	w := s.randomWorker(rng)
	set(w.host, true)
	time.Sleep(faultDuration(rng))
	set(w.host, false)
	return w.id
}

func (s *Soak) delayCalls(rng *rand.Rand) string {
	n, delay := 5+rng.IntN(10), time.Duration(2000+rng.IntN(6000))*time.Millisecond
	return s.onWorker(rng, func(h *standin.RunHost, on bool) {
		if !on {
			n = 0
		}
		h.SetDelayEveryNth(n, delay)
	})
}

func (s *Soak) loseStarts(rng *rand.Rand) string {
	return s.onWorker(rng, (*standin.RunHost).SetLosingReplies)
}

func (s *Soak) rejectStarts(rng *rand.Rand) string {
	return s.onWorker(rng, (*standin.RunHost).SetRejecting)
}
