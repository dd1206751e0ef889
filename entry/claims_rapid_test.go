package entry

import (
	"context"
	"flag"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/machine"
)

// The seed is fixed to make runs deterministic; -rapid.seed overrides it.
func init() { _ = flag.Set("rapid.seed", "20261204") }

// claimStep is one step of a random run: a fault, the replacement of a delegate or a claim. A pause of more than a
// second follows the step; shorter ones are skipped, so that claims run concurrently.
type claimStep struct {
	kind     int // 0 to 3 make the log fail or slow, 4 replaces a delegate, 5 truncates the log, others claim a key
	delegate int
	key      int           // key to claim; for a fault, the number of affected appends or share of truncated records
	pause    time.Duration // also the delay of each append that step 3 sets
}

func drawClaimSteps(t *rapid.T) []claimStep {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) claimStep {
		return claimStep{
			kind: rapid.IntRange(0, 11).Draw(t, "kind"), delegate: rapid.IntRange(0, 2).Draw(t, "delegate"),
			key:   rapid.IntRange(0, 5).Draw(t, "key"),
			pause: time.Duration(rapid.IntRange(0, 1500).Draw(t, "pause")) * time.Millisecond,
		}
	}), 1, 80).Draw(t, "steps")
}

// runClaims executes the steps and returns the job ids returned by the claims of each key.
func runClaims(t *testing.T, steps []claimStep) map[string]map[contract.JobID]bool {
	l := newFakeLog()
	won := make(map[string]map[contract.JobID]bool)
	var mu sync.Mutex
	var claims sync.WaitGroup
	var delegates [3]*claimDelegate
	home := machine.Incarnation(0)
	for i := range delegates {
		home++
		delegates[i] = startDelegate(t, l, home)
	}
	created := time.Now().UnixMilli()
	for n, s := range steps {
		switch s.kind {
		case 0:
			l.set(func(l *fakeLog) { l.down = !l.down })
		case 1:
			l.set(func(l *fakeLog) { l.loseReplies = s.key })
		case 2:
			l.set(func(l *fakeLog) { l.failAppends = s.key })
		case 3:
			l.set(func(l *fakeLog) { l.delay = s.pause })
		case 4:
			home++
			delegates[s.delegate] = startDelegate(t, l, home)
		case 5:
			l.set(func(l *fakeLog) {
				drop := uint64(len(l.streams[claimStream]) * (s.key + 1) / 6)
				l.first[claimStream] = max(l.first[claimStream], drop)
			})
		default:
			c := contract.Claim{
				Key: contract.CallerKey{Customer: "c", Text: fmt.Sprint(s.key), CreatedUnixMS: created},
				Job: contract.JobID{Domain: 1, Home: delegates[s.delegate].o.Self, Seq: uint64(n + 1)},
			}
			d := delegates[s.delegate]
			claims.Go(func() {
				id, err := d.claim(context.Background(), c)
				if err != nil {
					return
				}
				mu.Lock()
				defer mu.Unlock()
				if won[c.Key.Text] == nil {
					won[c.Key.Text] = make(map[contract.JobID]bool)
				}
				won[c.Key.Text][id] = true
			})
		}
		if s.pause > time.Second {
			time.Sleep(s.pause)
		}
	}
	claims.Wait()
	return won
}

// Guards against two job ids for one key under outages, lost replies, failed and slow appends, truncation and replaced
// delegates, with three concurrent delegates.
func TestOneWinnerUnderFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := drawClaimSteps(rt)
		var won map[string]map[contract.JobID]bool
		synctest.Test(t, func(t *testing.T) { won = runClaims(t, steps) })
		for key, ids := range won {
			require.Len(rt, ids, 1, "key %s", key)
		}
	})
}
