package command

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadadale/cicadadale/contract"
)

// Guards against a key that is parsed differently when a call is repeated, which would run the job again.
func TestParseKey(t *testing.T) {
	k, err := parseKey("wakala/order 7/plot@3@2026-05-01T06:00:00Z")
	require.NoError(t, err)
	created := time.Date(2026, 5, 1, 6, 0, 0, 0, time.UTC).UnixMilli()
	require.Equal(t, contract.CallerKey{Customer: "wakala", Text: "order 7/plot@3", CreatedUnixMS: created}, k)
	for _, bad := range []string{"", "wakala", "wakala/x", "/x@2026-05-01T06:00:00Z", "wakala/@2026-05-01T06:00:00Z", "a/b@now"} {
		_, err := parseKey(bad)
		require.Error(t, err, bad)
	}
}
