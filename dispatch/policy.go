package dispatch

import (
	"strings"

	"github.com/cicadadale/cicadadale/fault"
)

// Policy is the way in which a home chooses the worker of a task.
type Policy string

// Policies. The two besides the default are the baselines that it is compared with.
const (
	// PolicyDefault starts tasks on slots that the workers' granters have granted.
	PolicyDefault Policy = "default"
	// PolicyRandom chooses any listed worker of the service; a full worker rejects the start.
	PolicyRandom Policy = "random"
	// PolicyBestOfTwo chooses the less loaded of two random workers by their last known load.
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
