package entry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadadale/cicadadale/customer"
	"github.com/cicadadale/cicadadale/dispatch"
)

// Guards against a division by zero on a VM without slots, and against a wait that ignores the slots held.
func TestExpectedWait(t *testing.T) {
	v := dispatch.SchedulerView{Depth: customer.Depth{ShortWork: 6 * time.Second, LongWork: 2 * time.Second}}
	require.Equal(t, 8*time.Second, expectedWait(v))
	v.Idle, v.Busy = 1, 3
	require.Equal(t, 2*time.Second, expectedWait(v))
}
