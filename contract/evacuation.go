package contract

import "slices"

// Evacuations is the set of failure domains whose workers an operator has taken out of service. A value is never changed.
type Evacuations struct {
	// Version is the offset in the store's topic up to which records are contained; zero if none have been read.
	Version uint64
	// Domains are the evacuated failure domains, in order and without duplicates.
	Domains []string
}

// NewEvacuations returns the set of some failure domains.
func NewEvacuations(version uint64, domains []string) Evacuations {
	sorted := slices.Clone(domains)
	slices.Sort(sorted)
	return Evacuations{Version: version, Domains: slices.Compact(sorted)}
}

// Contains reports whether a failure domain is evacuated.
func (e Evacuations) Contains(domain string) bool {
	_, found := slices.BinarySearch(e.Domains, domain)
	return found
}
