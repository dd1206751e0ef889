package machine

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against an estimate that stays wrong after a worker has become slow and fast again, as after its domain was evacuated.
func TestSpeedFollowsAWorkerThatIsSlowForAWhile(t *testing.T) {
	const expected = 100 * time.Millisecond
	h := NewHost(Listing{})
	for _, speed := range []float64{0.25, 1} {
		for range 10 {
			h.Succeeded(time.Duration(float64(expected)/speed), expected)
		}
		require.InDelta(t, speed, h.Speed(), 0.15)
	}
}
