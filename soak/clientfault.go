package soak

import (
	"math/rand/v2"
	"time"
)

const (
	// minPatience and maxPatience bound the time after which a client leaves while clients_leave is injected.
	minPatience = 50 * time.Millisecond
	maxPatience = 450 * time.Millisecond
)

// sendClientsAway makes clients leave before their time limit, for a random time.
func (s *Soak) sendClientsAway(rng *rand.Rand) string {
	s.leaving.Add(1)
	time.Sleep(faultDuration(rng))
	s.leaving.Add(-1)
	return "clients"
}

// cancelJobs makes clients cancel some of their jobs at a random daemon, for a random time.
func (s *Soak) cancelJobs(rng *rand.Rand) string {
	s.cancelling.Add(1)
	time.Sleep(faultDuration(rng))
	s.cancelling.Add(-1)
	return "clients"
}

// patience returns how long a client waits for the answer to a job.
func (s *Soak) patience(j *job, rng *rand.Rand) time.Duration {
	if s.leaving.Load() == 0 || rng.IntN(2) == 0 {
		return j.limit
	}
	return minPatience + time.Duration(rng.Int64N(int64(maxPatience-minPatience)))
}
