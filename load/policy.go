package load

import (
	"fmt"
	"slices"
	"strings"
)

// Policies are the placement policies that a run can use, the default first.
var policies = []string{"default"}

// Policies returns the names of all policies.
func Policies() []string { return slices.Clone(policies) }

// CheckPolicy reports a name that is no policy.
func CheckPolicy(name string) error {
	if slices.Contains(policies, name) {
		return nil
	}
	return fmt.Errorf("unknown policy %q, use one of %s", name, strings.Join(policies, ", "))
}
