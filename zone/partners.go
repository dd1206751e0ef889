package zone

import (
	"cmp"
	"slices"
)

// Partners returns the ids of the candidates that a member chooses as partners, up to n of each failure domain: those with
// the highest weighted rendezvous hash. So each candidate is the partner of a number of members that is proportional to
// its weight, and a change of one candidate changes at most one partner of each member.
func Partners(member string, candidates []Candidate, n int) []string {
	byDomain := make(map[string][]Candidate)
	for _, c := range candidates {
		byDomain[c.Domain] = append(byDomain[c.Domain], c)
	}
	var ids []string
	for _, domain := range byDomain {
		slices.SortFunc(domain, func(a, b Candidate) int {
			return cmp.Or(cmp.Compare(rendezvousScore(member, b), rendezvousScore(member, a)), cmp.Compare(a.ID, b.ID))
		})
		for _, c := range domain[:min(n, len(domain))] {
			ids = append(ids, c.ID)
		}
	}
	return ids
}
