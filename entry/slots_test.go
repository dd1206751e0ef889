package entry

import (
	"sync"
	"testing"
	"time"

	"github.com/cicadadale/cicadadale/dispatch"
)

func runLoad(t *testing.T, policy dispatch.Policy, vms, workers int, loads []float64, tasks int, during time.Duration) summary {
	var s summary
	inBubble(t, func(t *testing.T) {
		c := newTestCluster(t, policy, vms, workers, 8)
		defer c.close()
		var wg sync.WaitGroup
		for i, load := range loads {
			wg.Go(func() { c.offer(c.vms[i].ID, load*float64(workers*8), tasks, during, uint64(i+1)) })
		}
		wg.Wait()
		s = c.summarise(during)
		t.Logf("%s: %v\n%v", policy, s, c.messages())
	})
	return s
}

func even(vms int, load float64) []float64 {
	loads := make([]float64, vms)
	for i := range loads {
		loads[i] = load / float64(vms)
	}
	return loads
}

func TestX(t *testing.T) {
	runLoad(t, dispatch.PolicyDefault, 8, 48, even(8, 0.7), 12, 5*time.Second)
	runLoad(t, dispatch.PolicyDefault, 8, 187, even(8, 0.7), 12, 3*time.Second)
	runLoad(t, dispatch.PolicyRandom, 8, 187, even(8, 0.7), 12, 3*time.Second)
}
