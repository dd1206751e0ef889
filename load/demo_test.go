package load

import (
	"context"
	"io"
	"log/slog"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards the whole path: two failure domains, forwarding between them, and answers checked twice.
func TestDemo(t *testing.T) {
	require.NoError(t, Demo(context.Background(), io.Discard, 12, slog.New(slog.DiscardHandler)))
}
