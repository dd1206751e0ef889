package customer

import (
	"errors"
	"fmt"
	"strings"
)

// TeamSpec describes a team of a customer. Names are unique within the customer.
type TeamSpec struct {
	Name string
	// Weight determines the team's share of its customer's capacity; 0 counts as 1.
	Weight float64
	// Slots is the quota of concurrently running tasks over all failure domains; 0 means no quota.
	Slots int
	// StartsPerSecond is the quota of starts over all failure domains; 0 means no quota.
	StartsPerSecond float64
	// Burst is the maximum number of starts at once; 0 selects the starts of one second.
	Burst float64
	// QuotaRevision is the revision at which Slots or StartsPerSecond was last changed. Shares of an earlier revision
	// are invalid, and the quota is divided again.
	QuotaRevision uint64
}

// Spec describes a customer.
type Spec struct {
	Name string
	// Weight determines the customer's share of the capacity; 0 counts as 1.
	Weight float64
	Teams  []TeamSpec
}

// Settings are the customers of a configuration. Revision increases with each configuration in effect.
type Settings struct {
	Revision  uint64
	Customers []Spec
	// Domains lists the numbers of the failure domains among which quotas are divided initially. They are part of the
	// settings, because entry VMs with different platform lists would divide the quotas differently.
	Domains []uint16
}

// Validate returns all errors of the settings joined, or nil if there are none.
func (s Settings) Validate() error {
	var faults []error
	customers := make(map[string]bool, len(s.Customers))
	for _, c := range s.Customers {
		if c.Name == "" || customers[c.Name] || strings.Contains(c.Name, "/") {
			faults = append(faults, fmt.Errorf("customer %q: the name is empty, used twice or contains a slash", c.Name))
		}
		customers[c.Name] = true
		faults = append(faults, c.validate()...)
	}
	return errors.Join(faults...)
}

func (c Spec) validate() []error {
	var faults []error
	if c.Weight < 0 {
		faults = append(faults, fmt.Errorf("customer %q: the weight is negative", c.Name))
	}
	teams := make(map[string]bool, len(c.Teams))
	for _, t := range c.Teams {
		if t.Name == "" || teams[t.Name] {
			faults = append(faults, fmt.Errorf("customer %q, team %q: the name is empty or used twice", c.Name, t.Name))
		}
		teams[t.Name] = true
		if t.Weight < 0 || t.Slots < 0 || t.StartsPerSecond < 0 || t.Burst < 0 {
			faults = append(faults, fmt.Errorf("customer %q, team %q: a weight or quota is negative", c.Name, t.Name))
		}
	}
	return faults
}

// TeamKey identifies a team among all customers.
type TeamKey struct {
	Customer string
	Team     string
}

// String returns the form that is used in messages between entry VMs.
func (k TeamKey) String() string { return k.Customer + "/" + k.Team }

// ParseTeamKey parses the form that String returns.
func ParseTeamKey(s string) (TeamKey, bool) {
	name, team, ok := strings.Cut(s, "/")
	return TeamKey{Customer: name, Team: team}, ok && name != "" && team != ""
}
