package contract

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cicadadale/cicadadale/machine"
)

// Guards against quota that is created by lost, repeated or reordered transfers, by a holder that restarts or by
// transfers of another revision, and against quota that stays lost after the transfers have been delivered.
func TestQuotaSharesNeverExceedTheQuota(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const quota, holders = 100, 4
		revision, next := uint64(1), machine.Incarnation(holders)
		shares := make([]*QuotaShare, holders)
		for i := range shares {
			shares[i] = NewQuotaShare("a/b", revision, machine.Incarnation(i+1), SeededPart(quota, i, holders))
		}
		var unacked, acks []QuotaTransfer
		restarted := false
		pick := func(t *rapid.T, label string) *QuotaShare {
			return shares[rapid.IntRange(0, holders-1).Draw(t, label)]
		}
		deliver := func(m QuotaTransfer) {
			for _, s := range shares {
				if s.Receive(m) {
					acks = append(acks, m)
				}
			}
		}
		sum := func() int {
			n := 0
			for _, s := range shares {
				n += s.Held()
			}
			return n
		}
		t.Repeat(map[string]func(*rapid.T){
			"give": func(t *rapid.T) {
				m, ok := pick(t, "giver").Give(pick(t, "taker").self, rapid.IntRange(-5, 60).Draw(t, "n"))
				if ok {
					unacked = append(unacked, m)
				}
			},
			"deliver any, keep it": func(t *rapid.T) {
				if len(unacked) > 0 {
					deliver(rapid.SampledFrom(unacked).Draw(t, "message"))
				}
			},
			"lose": func(t *rapid.T) {
				if len(unacked) > 0 {
					unacked = unacked[1:]
				}
			},
			"acknowledge": func(t *rapid.T) {
				if len(acks) > 0 {
					m := rapid.SampledFrom(acks).Draw(t, "ack")
					for _, s := range shares {
						s.Acknowledge(m)
					}
				}
			},
			"resend": func(t *rapid.T) { unacked = append(unacked, pick(t, "sender").Pending()...) },
			"restart": func(t *rapid.T) {
				next++
				restarted = true
				shares[rapid.IntRange(0, holders-1).Draw(t, "holder")] = NewQuotaShare("a/b", revision, next, 0)
			},
			"new revision": func(*rapid.T) {
				revision++
				restarted = false
				for i, s := range shares {
					shares[i] = NewQuotaShare("a/b", revision, s.self, SeededPart(quota, i, holders))
				}
			},
			"": func(t *rapid.T) {
				require.LessOrEqual(t, sum(), quota)
				for _, s := range shares {
					require.GreaterOrEqual(t, s.Held(), 0)
				}
			},
		})
		for _, s := range shares {
			for _, m := range s.Pending() {
				deliver(m)
			}
		}
		if !restarted {
			require.Equal(t, quota, sum(), "all transfers have been delivered")
		}
	})
}
