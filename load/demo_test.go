package load

import (
	"context"
	"io"
	"log/slog"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards the whole path: jobs on two failure domains, forwarding between the domains, and the same answer from a second
// entry VM.
func TestDemo(t *testing.T) {
	require.NoError(t, Demo(context.Background(), io.Discard, 12, slog.New(slog.DiscardHandler)))
}
