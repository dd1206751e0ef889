package entry

import (
	"context"
	"time"

	"github.com/cicadadale/cicadadale/machine"
	"github.com/cicadadale/cicadadale/zone"
)

const (
	// quotaReturnTimeout bounds the time that a stopping VM spends on returning its quota.
	quotaReturnTimeout = 2 * time.Second
	// quotaReturnRetry is the interval at which unacknowledged transfers are sent again.
	quotaReturnRetry = 100 * time.Millisecond
	// quotaReturnKey is hashed with the members' ids to choose the member that receives the quota of a stopping VM.
	quotaReturnKey = "quota return/"
)

// returnQuota transfers the shares of a stopping VM to another member of the failure domain. Without it each planned
// replacement of one of eight entry VMs would take an eighth of the failure domain's quota of every team out of use,
// until the quota is changed.
func (q *quotaExchange) returnQuota(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, quotaReturnTimeout)
	defer cancel()
	t := time.NewTicker(quotaReturnRetry)
	defer t.Stop()
	for {
		if q.transferAll() {
			return
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// transferAll sends all shares and unacknowledged transfers. It reports whether none is left or no member can receive
// them.
func (q *quotaExchange) transferAll() bool {
	to, ok := q.receiver()
	if !ok {
		return true
	}
	q.recordProcess(to.ID, to.Incarnation)
	done := true
	for _, u := range q.d.dispatcher.Teams().Usages() {
		s := q.shard(u.Key)
		s.mu.Lock()
		e, known := s.teams[u.Key]
		if known {
			e.share.Give(to.Incarnation, e.share.Held())
			q.d.dispatcher.SetQuotaShare(u.Key, e.share.Held())
			done = done && e.share.Held() == 0 && len(e.share.Pending()) == 0
		}
		s.mu.Unlock()
		q.resend(u.Key)
	}
	return done
}

// receiver returns the member that receives the quota of this VM.
func (q *quotaExchange) receiver() (machine.EntryVM, bool) {
	var others []machine.EntryVM
	for _, vm := range q.d.domain.Live() {
		if vm.ID != q.d.o.VM.ID {
			others = append(others, vm)
		}
	}
	return zone.Choose(quotaReturnKey+q.d.o.VM.ID, others)
}
