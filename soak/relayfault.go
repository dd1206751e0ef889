package soak

import (
	"math/rand/v2"
	"time"

	"github.com/cicadadale/cicadadale/load"
)

// relayFault injects a fault into the connections through a relay, and returns when it has ended.
type relayFault func(r *load.Relay, rng *rand.Rand)

// onClients applies a fault between clients and a random daemon.
func onClients(f relayFault) faultFunc {
	return func(s *Soak, rng *rand.Rand) string {
		d := s.randomDaemon(rng)
		d.disturb(func() { f(d.clients, rng) })
		return d.vm
	}
}

// onPeers applies a fault between a random daemon and the other members that call it.
func onPeers(f relayFault) faultFunc {
	return func(s *Soak, rng *rand.Rand) string {
		d := s.randomDaemon(rng)
		f(d.peers, rng)
		return d.vm
	}
}

// onStoreLink applies a fault between a random daemon and the store.
func onStoreLink(f relayFault) faultFunc {
	return func(s *Soak, rng *rand.Rand) string {
		d := s.randomDaemon(rng)
		f(d.store, rng)
		return d.vm
	}
}

// onWorkerLink applies a fault between the daemons and a random worker.
func onWorkerLink(f relayFault) faultFunc {
	return func(s *Soak, rng *rand.Rand) string {
		w := s.randomWorker(rng)
		f(w.relay, rng)
		return w.id
	}
}

// cut closes the connections and those that are opened, for a random time.
func cut(r *load.Relay, rng *rand.Rand) {
	r.Cut()
	time.Sleep(faultDuration(rng))
	r.Restore()
}

func slow(r *load.Relay, rng *rand.Rand) {
	r.SetDelay(time.Duration(20+rng.IntN(400)) * time.Millisecond)
	time.Sleep(faultDuration(rng))
	r.SetDelay(0)
}

// repeatAnswers sends all answers twice, the second time late.
func repeatAnswers(r *load.Relay, rng *rand.Rand) {
	r.SetRepeat(time.Duration(1+rng.IntN(40)) * time.Millisecond)
	time.Sleep(faultDuration(rng))
	r.SetRepeat(0)
}

func reset(r *load.Relay, _ *rand.Rand) { r.Reset() }

func silence(r *load.Relay, _ *rand.Rand) { r.Silence() }

func silenceRequests(r *load.Relay, _ *rand.Rand) { r.SilenceRequests() }

// halfClose closes the clients' half of all open connections, as a relay or load balancer does that closes one side first.
// The clients can still read.
func halfClose(r *load.Relay, _ *rand.Rand) { r.CloseRequests() }
