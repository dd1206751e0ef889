package load

import "github.com/cicadadale/cicadadale/dispatch"

// Policies returns the names of all placement policies, the default first.
func Policies() []string {
	var names []string
	for _, p := range dispatch.Policies() {
		names = append(names, string(p))
	}
	return names
}

// CheckPolicy returns an error if name is not a placement policy.
func CheckPolicy(name string) error {
	_, err := dispatch.ParsePolicy(name)
	return err
}
