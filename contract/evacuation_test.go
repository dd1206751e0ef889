package contract

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against an evacuated domain that is not found, in whatever order the domains are named.
func TestEvacuationsContainTheirDomains(t *testing.T) {
	e := NewEvacuations(7, []string{"z", "a", "m", "a"})
	require.Equal(t, []string{"a", "m", "z"}, e.Domains)
	for _, domain := range e.Domains {
		require.True(t, e.Contains(domain), domain)
	}
	require.False(t, e.Contains("b"))
	require.False(t, Evacuations{}.Contains(""))
}
