package zone

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

// Candidate is a member that may own workers.
type Candidate struct {
	// ID identifies the process, VM the machine: a restarted process owns the workers that the previous one owned.
	ID     string
	VM     string
	Domain string
	// Weight is the relative share of workers that the candidate should own.
	Weight float64
}

// OwnerOf returns the candidate that owns a worker: the one with the highest weighted rendezvous hash among those of
// the worker's failure domain. If the domain is orphaned, which means that no member has been seen there for a while,
// its workers are shared among all candidates. Members with the same candidates compute the same owner, and a change
// of one candidate moves only the workers that it owns before or after.
func OwnerOf(worker, domain string, candidates []Candidate, orphaned bool) (string, bool) {
	return highest(worker, candidates, func(c Candidate) bool { return orphaned || c.Domain == domain })
}

func highest(key string, candidates []Candidate, eligible func(Candidate) bool) (string, bool) {
	best, bestScore, found := "", 0.0, false
	for _, c := range candidates {
		if !eligible(c) {
			continue
		}
		score := rendezvousScore(key, c)
		if !found || score > bestScore || (score == bestScore && c.ID < best) {
			best, bestScore, found = c.ID, score, true
		}
	}
	return best, found
}

// rendezvousScore maps the hash to a score such that each candidate has the highest score with a probability
// proportional to its weight.
func rendezvousScore(key string, c Candidate) float64 {
	h := xxhash.Sum64String(key + "\x00" + c.VM)
	u := (float64(h>>11) + 0.5) / (1 << 53)
	return -max(c.Weight, math.SmallestNonzeroFloat64) / math.Log(u)
}
