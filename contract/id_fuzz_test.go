package contract

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against ids with two spellings, both of which a worker would start, and against input that panics.
func FuzzParseIDs(f *testing.F) {
	for _, seed := range []string{
		"j-1-00c0ffee00c0ffee-17", "j-65535-ffffffffffffffff-18446744073709551615.499", "j-01-00c0ffee00c0ffee-17",
		"j-1-00C0FFEE00C0FFEE-17", "j-1-0000000000000000-1", "j-1-00c0ffee00c0ffee-0", "j-1-00c0ffee00c0ffee-+1",
		"j-1-00c0ffee00c0ffee-17.007", "j-70000-00c0ffee00c0ffee-1", "", "j---", "j-1-00c0ffee00c0ffee-17.", "\x00",
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		if id, err := ParseJobID(text); err == nil {
			require.Equal(t, text, id.String())
		}
		if id, err := ParseTaskID(text); err == nil {
			require.Equal(t, text, id.String())
		}
	})
}
