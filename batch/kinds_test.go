package batch

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against predictions from the mean of a route although declared estimates distinguish long jobs from short
// ones, and against predictions that adopt the declared estimates unchanged.
func TestExpectedRunTimeFollowsTheEstimate(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	k := newKinds()
	for range 2000 {
		work := 170 * math.Exp(0.5*rng.NormFloat64())
		estimate := 1.3 * work * math.Exp(0.4*rng.NormFloat64())
		k.learn("r", time.Duration(estimate)*time.Millisecond, time.Duration(work)*time.Millisecond)
	}
	short := k.expected("r", 100*time.Millisecond)
	long := k.expected("r", 600*time.Millisecond)
	require.InDelta(t, 110, short.Milliseconds(), 30)
	require.InDelta(t, 310, long.Milliseconds(), 70)
}

// Guards against unusable predictions for a kind without samples, or with equal estimates only.
func TestExpectedRunTimeWithoutSpread(t *testing.T) {
	k := newKinds()
	require.Equal(t, defaultRun, k.expected("r", 0))
	require.Equal(t, 80*time.Millisecond, k.expected("r", 100*time.Millisecond))
	for range 50 {
		k.learn("r", 100*time.Millisecond, 50*time.Millisecond)
	}
	require.InDelta(t, 50, k.expected("r", 100*time.Millisecond).Milliseconds(), 2)
	require.InDelta(t, 71, k.expected("r", 200*time.Millisecond).Milliseconds(), 6)
}
