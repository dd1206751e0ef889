package dispatch

import (
	"strings"

	"github.com/cicadadale/cicadadale/fault"
)

// Policy determines how a home node chooses the worker of a task.
type Policy string

// Policies. The other two are the baselines with which the default is compared.
const (
	// PolicyDefault starts tasks on slots granted by the workers' slot allocators.
	PolicyDefault Policy = "default"
	// PolicyRandom chooses any listed worker of the service; a full worker rejects the start.
	PolicyRandom Policy = "random"
	// PolicyBestOfTwo chooses the less loaded of two random workers according to their last known load.
	PolicyBestOfTwo Policy = "best-of-two"
)

// Policies returns all policies.
func Policies() []Policy { return []Policy{PolicyDefault, PolicyRandom, PolicyBestOfTwo} }

// ParsePolicy returns the policy of the given name. The empty name selects the default.
func ParsePolicy(name string) (Policy, error) {
	if name == "" {
		return PolicyDefault, nil
	}
	var names []string
	for _, p := range Policies() {
		if string(p) == name {
			return p, nil
		}
		names = append(names, string(p))
	}
	return "", fault.With(fault.Invalid, "unknown policy", "policy %q is not one of %s", name, strings.Join(names, ", "))
}
