package pool

import (
	"cmp"
	"slices"
	"time"

	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/internal/logattr"
	"github.com/cicadadale/cicadadale/machine"
	"github.com/cicadadale/cicadadale/metric"
)

const (
	// maxGaps bounds the workers whose free capacity is offered at once.
	maxGaps = 4
	// maxGapTasks bounds the runs that are wanted for a gap.
	maxGapTasks = 8
	// minGapShare is the smallest gap that is offered, relative to the typical size of a task.
	minGapShare = 0.5
	// offerSpacing is the shortest time between two offers, so that several gaps share a message.
	offerSpacing = 5 * time.Millisecond
	// offerRepeat is the time after which the same gap is offered again: the runs that an offer has led to have arrived by
	// then. It doubles with each offer up to maxOfferRepeat, and starts anew when the gap grows.
	offerRepeat    = 80 * time.Millisecond
	maxOfferRepeat = 320 * time.Millisecond
	// suggestedStay is how long a run that was ordered here by a suggestion is not given up, so that it does not pass between
	// owners that fill up.
	suggestedStay = 100 * time.Millisecond
)

// gapOffer is the last offer of a worker's free capacity. free is the smallest that the worker has had since.
type gapOffer struct {
	at     time.Time
	free   machine.Resources
	repeat time.Duration
}

// shrink records that a run takes some of the free capacity.
func (o *gapOffer) shrink(free machine.Resources) { o.free = o.free.Min(free) }

// due returns the time until the free capacity may be offered: at once if it has grown since the last offer.
func (o gapOffer) due(free machine.Resources, now time.Time) time.Duration {
	if free.CPUMillis > o.free.CPUMillis || free.MemoryMB > o.free.MemoryMB {
		return 0
	}
	return max(o.repeat-now.Sub(o.at), 0)
}

// next returns the record of an offer that is made now.
func (o gapOffer) next(free machine.Resources, now time.Time) gapOffer {
	repeat := offerRepeat
	if o.free == free {
		repeat = min(max(2*o.repeat, offerRepeat), maxOfferRepeat)
	}
	return gapOffer{at: now, free: free, repeat: repeat}
}

// Offer returns the free capacity to which waiting runs of other owners are invited now: that of workers on which no queued task
// of this pool can start. It calls Options.Room again when it may offer more.
func (p *Pool) Offer() []contract.FreeGap {
	now := p.o.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if wait := offerSpacing - now.Sub(p.offeredAt); wait > 0 {
		p.offerAfter(wait, now)
		return nil
	}
	hosts, wait := p.hostsToOffer(now)
	if len(hosts) > maxGaps {
		hosts, wait = hosts[:maxGaps], offerSpacing
	}
	if wait > 0 {
		p.offerAfter(wait, now)
	}
	var gaps []contract.FreeGap
	for _, h := range hosts {
		free := h.host.Free()
		h.offer = h.offer.next(free, now)
		gaps = append(gaps, contract.FreeGap{
			Free: free, Speed: h.host.Speed(), Labels: h.labels(), Tasks: p.gapTasks(free),
		})
		p.offeredAt = now
	}
	return gaps
}

// settled reports whether the runs that the last offer has led to have arrived.
func (o gapOffer) settled(now time.Time) bool { return now.Sub(o.at) >= offerRepeat }

// hostsToOffer returns the workers whose free capacity is offered now, the largest first, and the time until that of another one
// may be, zero if there is none. If any is due, those that are to be offered again later are offered too, so that one message does
// for all. p.mu is held.
func (p *Pool) hostsToOffer(now time.Time) (hosts []*ownedHost, wait time.Duration) {
	candidates := p.hostsWithCapacity(now)
	reserved := p.reservedHost(now)
	var later []*ownedHost
	for _, h := range candidates {
		free := h.host.Free()
		if h == reserved || h == p.emptying || h.hasAlone() || !free.Fits(p.minGap()) {
			continue
		}
		due := h.offer.due(free, now)
		switch {
		case due == 0:
			hosts = append(hosts, h)
			due = offerRepeat
		case h.offer.settled(now):
			later = append(later, h)
		}
		if wait == 0 || due < wait {
			wait = due
		}
	}
	if len(hosts) > 0 {
		hosts = append(hosts, later...)
	}
	slices.SortStableFunc(hosts, func(a, b *ownedHost) int {
		return cmp.Compare(b.host.Free().CPUMillis, a.host.Free().CPUMillis)
	})
	return hosts, wait
}

// reservedHost returns the worker that the next match would keep free for a queued run; nil if there is none. p.mu is held.
func (p *Pool) reservedHost(now time.Time) *ownedHost {
	if p.o.Overload.Shed {
		p.orderByShares(now, 1)
		defer p.clearOrder()
		return p.shareOrder.reserved.host
	}
	p.waiting.sort(now, 1)
	reserved, _ := p.reserve(now)
	return reserved
}

// minGap returns the size below which free capacity is not offered. p.mu is held.
func (p *Pool) minGap() machine.Resources {
	return machine.Resources{
		CPUMillis: max(int(minGapShare*float64(p.typicalSize.CPUMillis)), 1),
		MemoryMB:  int(minGapShare * float64(p.typicalSize.MemoryMB)),
	}
}

// gapTasks returns how many runs are wanted for a gap. p.mu is held.
func (p *Pool) gapTasks(free machine.Resources) int {
	if p.typicalSize.CPUMillis == 0 {
		return maxGapTasks
	}
	return min(max(slotsIn(free, p.minGap()), 1), maxGapTasks)
}

// hasGap reports whether a worker may have free capacity to offer. It may say so of one that hostsToOffer leaves out. p.mu is held.
func (p *Pool) hasGap(now time.Time) bool {
	if p.o.Room == nil {
		return false
	}
	for _, h := range p.hosts {
		if h.host.Usable(now) && h.host.Free().Fits(p.minGap()) {
			return true
		}
	}
	return false
}

// labels returns the labels of the worker as far as they are known of its present incarnation.
func (h *ownedHost) labels() []string {
	if !h.host.EntryCurrent() {
		return nil
	}
	return h.host.Listing.Labels
}

// offerAfter calls Options.Room after a time, unless an earlier call is due. p.mu is held.
func (p *Pool) offerAfter(wait time.Duration, now time.Time) {
	due := now.Add(wait)
	if p.offerTimer != nil {
		if !due.Before(p.offerDue) {
			return
		}
		p.offerTimer.Stop()
	}
	p.offerDue = due
	p.offerTimer = time.AfterFunc(wait, p.offerDueNow)
}

func (p *Pool) offerDueNow() {
	p.mu.Lock()
	p.offerTimer = nil
	p.mu.Unlock()
	if p.ctx.Err() == nil {
		p.o.Room()
	}
}

// stopOffers ends the calls of Options.Room.
func (p *Pool) stopOffers() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.offerTimer != nil {
		p.offerTimer.Stop()
	}
}

// GiveUp ends queued runs that another owner has invited, and reports it to their homes as the suggested next owner. It starts
// none of them: the homes decide where the next runs are ordered.
func (p *Pool) GiveUp(inviter string, gaps []contract.FreeGap) {
	now := p.o.Now()
	var fx effects
	var tasks []string
	p.mu.Lock()
	for _, r := range chooseRuns(&p.waiting, gaps, now, func(r *run) bool { return p.mayGiveUp(r, now) }) {
		tasks = append(tasks, r.order.Key.String())
		p.giveUp(r, inviter, &fx)
	}
	if len(tasks) > 0 {
		p.match(now, &fx)
	}
	p.mu.Unlock()
	for chunk := range slices.Chunk(tasks, logattr.TasksPerLine) {
		p.o.Logger.Info("queued runs given up to an owner with free capacity", "owner", inviter, "runs", len(tasks), "tasks", chunk)
	}
	p.apply(fx)
}

// giveUp ends a run that never started. Only its first report names the suggested owner: by the time of another one the free
// capacity there is gone. p.mu is held.
func (p *Pool) giveUp(r *run, inviter string, fx *effects) {
	p.counter(metric.PoolRunsGivenUp).Inc(1)
	p.finish(r, contract.RunEnded, proofNotStarted, 0, fx)
	fx.reports[len(fx.reports)-1].NextOwner = inviter
}

// chooseRuns chooses the queued runs that are given up for the free capacity of another owner. As in match, the fastest worker
// chooses first and takes the most urgent runs that fit, judged by its speed.
func chooseRuns(q *queue, gaps []contract.FreeGap, now time.Time, mayGiveUp func(*run) bool) []*run {
	gaps = slices.Clone(gaps)
	slices.SortStableFunc(gaps, func(a, b contract.FreeGap) int { return cmp.Compare(b.Speed, a.Speed) })
	var chosen []*run
	for _, gap := range gaps {
		q.sort(now, gap.Speed)
		for _, r := range q.runs {
			if gap.Tasks <= 0 {
				break
			}
			o := r.order
			if !gap.Holds(o.Need, o.RequiredLabel) || slices.Contains(chosen, r) || !mayGiveUp(r) ||
				!endsInTime(o, gap.Speed, now) || r.awaitsFaster(now, gap.Speed) {
				continue
			}
			chosen = append(chosen, r)
			gap = gap.Less(o.Need)
		}
	}
	return chosen
}

// endsInTime reports whether a task that starts now on a worker of that speed is expected to end before its deadline.
func endsInTime(o contract.TaskOrder, speed float64, now time.Time) bool {
	took := time.Duration(float64(o.Expected) / max(speed, minMatchSpeed))
	return !now.Add(took).After(o.Deadline)
}

// mayGiveUp reports whether a queued run may start at any owner: no start of it was ever sent, it is bound to no worker here,
// and its home still wants it. p.mu is held.
func (p *Pool) mayGiveUp(r *run, now time.Time) bool {
	if r.state != runWaiting || r.mayHaveRun || r.sentTo != "" || now.Sub(r.refreshedAt) > refreshTimeout {
		return false
	}
	if r.order.Suggested && now.Sub(r.queuedAt) < suggestedStay {
		return false
	}
	return !p.boundHere(r, now)
}

// boundHere reports whether a queued run has to start on certain workers of this pool, or to wait for an earlier run that is
// being stopped there. So has one of a step with a limit for each worker, since an offer of free capacity does not tell
// what else runs there. p.mu is held.
func (p *Pool) boundHere(r *run, now time.Time) bool {
	o := r.order
	if r.onlyWorker != "" || r.unplaceable || o.OnlyWorker != "" || p.o.LateStarts.Has(o.Key) || p.onWorkers[o.Key.Task()] > 0 {
		return true
	}
	if o.Alone || o.PerWorkerLimit > 0 || p.o.Confinement.Share(o.Route) < 1 {
		return true
	}
	return o.PreferredRack != "" && p.hasRack(o.PreferredRack, now)
}

// recordSuggested records that a home has ordered a run here because its last owner has accepted an invitation.
func (p *Pool) recordSuggested(home string, o contract.TaskOrder) {
	if !o.Suggested {
		return
	}
	p.counter(metric.PoolRunsReceived).Inc(1)
	p.o.Logger.Info("run received after an invitation", "task", o.Key.String(), "home", home)
}
