package load

import (
	"context"
	"io"
	"log/slog"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against faults that show only when all parts run together: incomplete or wrong answers of jobs on two failure
// domains, resubmissions that are not forwarded between the domains, and another answer from a second entry VM.
func TestDemo(t *testing.T) {
	require.NoError(t, Demo(context.Background(), io.Discard, 12, slog.New(slog.DiscardHandler)))
}
