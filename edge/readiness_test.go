package edge

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against clients that the balancer sends to a process which can serve nothing while others can, and against a
// deployment none of whose processes is ready while all of them return.
func TestProcessWithoutContactIsNotReadyWhileOthersAreListed(t *testing.T) {
	for name, c := range map[string]struct {
		facts readinessFacts
		alone bool
	}{
		"no contact, others listed":    {readinessFacts{listed: 3}, true},
		"no contact, none listed":      {readinessFacts{}, false},
		"all return, none owns yet":    {readinessFacts{listed: 3, live: 1}, false},
		"owns workers, others are cut": {readinessFacts{listed: 3, ownerKnown: true}, false},
	} {
		require.Equal(t, c.alone, c.facts.alone(), name)
	}
	require.False(t, readinessFacts{}.ready(), "no desired state")
	require.False(t, readinessFacts{hasDesired: true, stopping: true}.ready())
}
