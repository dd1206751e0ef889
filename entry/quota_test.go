package entry

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/customer"
	"github.com/cicadadale/cicadadale/dispatch"
)

// Guards against quota that is created or stuck while it moves between entry VMs, also through a partition, and against
// quota that does not follow a team's demand.
func TestQuotaFollowsDemand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster(t, dispatch.PolicyDefault, 3, 6)
		defer c.close()
		key := customer.TeamKey{Customer: "c", Team: "t"}
		for _, m := range c.members {
			require.NoError(t, m.dispatcher.ApplyCustomers(customer.Settings{
				Revision: 1, Domains: []uint16{1, 2}, Customers: []customer.Spec{
					{Name: key.Customer, Teams: []customer.TeamSpec{{Name: key.Team, Slots: 40}}},
				},
			}))
		}
		held := func() (sum int) {
			for _, m := range c.members {
				for _, u := range m.dispatcher.Teams().Usages() {
					sum += u.Share
				}
			}
			return sum
		}
		run := func(d time.Duration) {
			for range int(d / quotaInterval) {
				time.Sleep(quotaInterval)
				for _, m := range c.members {
					m.quotas.tick()
				}
				synctest.Wait()
				require.LessOrEqual(t, held(), 20, "the failure domain seeds half of the quota")
			}
		}
		run(seedingDelay + 2*time.Second)
		require.Equal(t, 20, held())
		busy := c.members[c.vms[0].ID]
		spec := contract.JobSpec{
			ID: busy.table.Mint(1)[0], Service: testService, Customer: key.Customer, Team: key.Team,
		}
		for range 30 {
			spec.Tasks = append(spec.Tasks, contract.TaskSpec{Kind: shortKind, Payload: payload(8*time.Second, time.Now())})
		}
		require.NoError(t, busy.dispatcher.Submit(spec))
		c.net.setCut(func(string, string) bool { return true })
		run(time.Second)
		c.net.setCut(nil)
		run(5 * time.Second)
		for _, u := range busy.dispatcher.Teams().Usages() {
			require.GreaterOrEqual(t, u.Share, 18, "the other members transfer the quota that they do not need")
		}
		run(30 * time.Second)
		a, _, err := busy.table.Lookup(spec.ID)
		require.NoError(t, err)
		require.Equal(t, contract.VerdictComplete, a.Verdict)
	})
}

// Guards against quota that planned stops take out of use: with 1,400 replacements a day the teams would soon have
// none.
func TestPlannedStopPassesQuotaOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster(t, dispatch.PolicyDefault, 3, 6)
		defer c.close()
		for _, m := range c.members {
			require.NoError(t, m.dispatcher.ApplyCustomers(customer.Settings{
				Revision: 1, Domains: []uint16{1}, Customers: []customer.Spec{
					{Name: "c", Teams: []customer.TeamSpec{{Name: "t", Slots: 30}, {Name: "u", Slots: 7}}},
				},
			}))
		}
		held := func() (sum int) {
			for _, m := range c.members {
				for _, u := range m.dispatcher.Teams().Usages() {
					sum += u.Share
				}
			}
			return sum
		}
		for range int((seedingDelay + 2*time.Second) / quotaInterval) {
			time.Sleep(quotaInterval)
			for _, m := range c.members {
				m.quotas.tick()
			}
			synctest.Wait()
		}
		require.Equal(t, 37, held())
		id := c.vms[0].ID
		c.members[id].dispatcher.Drain()
		c.members[id].quotas.returnQuota(t.Context())
		for _, u := range c.members[id].dispatcher.Teams().Usages() {
			require.Zero(t, u.Share)
		}
		require.Equal(t, 37, held())
		c.stop(id)
		require.Equal(t, 37, held())
	})
}
