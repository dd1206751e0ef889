package pool

import (
	"cmp"
	"slices"
	"time"

	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/machine"
)

const (
	// sizeWeight is the weight of one task in the typical size.
	sizeWeight = 0.05
	// reserveDelay is the wait after which a worker is reserved for the most urgent task, so that smaller tasks behind it
	// do not take the capacity that it needs. Without it, large tasks starve while small ones fill each gap.
	reserveDelay = 150 * time.Millisecond
	// stealingReserveDelay is the same where owners take runs from each other: another one may have room for the task sooner, and
	// what is kept free here is lost to smaller ones.
	stealingReserveDelay = 300 * time.Millisecond
)

// match starts queued tasks on workers with free capacity, and notes whether that leaves some. p.mu is held.
func (p *Pool) match(now time.Time, fx *effects) {
	p.startQueued(now, fx)
	fx.room = p.hasGap(now)
}

// startQueued starts queued tasks on workers with free capacity. Each worker takes the most urgent task that fits, judged by
// its own speed; the fastest choose first, so that they get the tasks that only they can finish before the deadline.
// p.mu is held.
func (p *Pool) startQueued(now time.Time, fx *effects) {
	if len(p.waiting.runs) == 0 {
		p.emptying = nil
		return
	}
	p.bindWaiting(now, fx)
	p.updateConfinementRanks()
	p.updateEmptying(now)
	p.startBound(now, fx)
	if p.o.Overload.Shed {
		p.startByShares(now, fx)
		return
	}
	p.startByPriority(now, fx)
}

// startByPriority starts queued tasks in the order of queue.sort. p.mu is held.
func (p *Pool) startByPriority(now time.Time, fx *effects) {
	var reserved *ownedHost
	first := 0
	for _, h := range p.hostsWithCapacity(now) {
		if !p.waiting.anyFits(h.host.Free()) {
			// At a demand peak most workers have gaps that are too small for any queued task, and sorting takes much longer.
			continue
		}
		p.waiting.sort(now, h.host.Speed())
		if reserved == nil {
			reserved, first = p.reserve(now)
		}
		for i := 0; i < len(p.waiting.runs) && h.host.Usable(now); {
			r := p.waiting.runs[i]
			if (h == reserved && i > first) || !p.canStart(h, r, now) {
				i++
				continue
			}
			p.waiting.remove(r)
			p.assign(r, h, now, fx)
		}
	}
}

// rankClasses divides the confinement ranks into quarters, as confined routes get a quarter or half of the workers.
const rankClasses = 4

// hostsWithCapacity returns the workers on which a task may start, the fastest first and of equally fast ones the
// fullest. Those on which tasks of confined routes start come last, so that the others lose less with them.
func (p *Pool) hostsWithCapacity(now time.Time) []*ownedHost {
	var hosts []*ownedHost
	for _, h := range p.hosts {
		if p.entrySuffices(h) && h.host.CanStart(machine.Resources{}, now) && h.host.Free().CPUMillis > 0 &&
			h.leaseLimit(now, p.o.Lease).Sub(now) >= minStartLease {
			hosts = append(hosts, h)
		}
	}
	slices.SortFunc(hosts, func(a, b *ownedHost) int {
		if d := cmp.Compare(int(p.confinementRank[b]*rankClasses), int(p.confinementRank[a]*rankClasses)); d != 0 {
			return d
		}
		if preferred(a.host, b.host) {
			return -1
		}
		return 1
	})
	return hosts
}

// canStart reports whether a task may start on a worker now. A task whose data is in a rack of this pool waits for
// that rack for at most its expected run time.
func (p *Pool) canStart(h *ownedHost, r *run, now time.Time) bool {
	o := r.order
	if !h.host.CanStart(o.Need, now) || !p.admits(h, r, now) || r.onlyWorker != "" || r.unplaceable {
		return false
	}
	if o.PreferredRack == "" || h.host.InRack(o.PreferredRack) || now.Sub(r.queuedAt) > o.Expected {
		return true
	}
	return !p.hasRack(o.PreferredRack, now)
}

// admits reports whether a task may start on a worker that has room for it.
func (p *Pool) admits(h *ownedHost, r *run, now time.Time) bool {
	o := r.order
	if now.Sub(r.refreshedAt) > refreshTimeout {
		// The home already treats the run as lost; the next sweep ends it.
		return false
	}
	if p.onWorkers[o.Key.Task()] > 0 {
		// An earlier run, whose start was executed late, is being stopped.
		return false
	}
	if !h.host.CanHold(o.Need, o.RequiredLabel) || !h.leaseEndsInTime(r) || !p.mayJoin(h, o, now) {
		return false
	}
	return h.allowsAnotherOf(o)
}

// allowsAnotherOf reports whether the limit of a task's step for each worker allows another run on the worker.
func (h *ownedHost) allowsAnotherOf(o contract.TaskOrder) bool {
	return o.PerWorkerLimit == 0 || h.runsOfStep(o.Key) < o.PerWorkerLimit
}

// runsOfStep returns the number of runs of a step on the worker, and of those that it may still start.
func (h *ownedHost) runsOfStep(key contract.RunKey) int {
	n := 0
	for k := range h.runs {
		if k.InStep(key) {
			n++
		}
	}
	for k := range h.unbarred {
		if k.InStep(key) {
			n++
		}
	}
	return n
}

// hasRack reports whether a usable worker of the pool is in a rack.
func (p *Pool) hasRack(rack string, now time.Time) bool {
	for _, h := range p.hosts {
		if h.host.Usable(now) && h.host.InRack(rack) {
			return true
		}
	}
	return false
}

// reserve returns the worker that is kept free for the most urgent task and the place of that task in the queue, if it has
// waited for reserveDelay. Tasks that wait for one worker which takes none reserve nothing. p.mu is held.
func (p *Pool) reserve(now time.Time) (*ownedHost, int) {
	first := slices.IndexFunc(p.waiting.runs, func(r *run) bool { return !p.stuck(r, now) })
	if first < 0 {
		return nil, 0
	}
	r := p.waiting.runs[first]
	if now.Sub(r.queuedAt) < p.reserveDelay() || r.order.Alone {
		return nil, first
	}
	if r.onlyWorker != "" {
		return p.hosts[r.onlyWorker], first
	}
	return p.largestFree(r.order), first
}

// reserveDelay returns the wait after which a worker is reserved for the most urgent task.
func (p *Pool) reserveDelay() time.Duration {
	if p.o.Room != nil {
		return stealingReserveDelay
	}
	return reserveDelay
}

// speedStep is the width of a speed class, relative to the mean speed of the back end. Workers of the same class are
// treated as equally fast.
const speedStep = 0.15

// preferred orders workers for a task: the faster first, and among equally fast ones the one with less free capacity.
func preferred(a, b *machine.Host) bool {
	if sa, sb := int(a.Speed()/speedStep), int(b.Speed()/speedStep); sa != sb {
		return sa > sb
	}
	if fa, fb := a.Free().CPUMillis, b.Free().CPUMillis; fa != fb {
		return fa < fb
	}
	return a.Listing.Worker < b.Listing.Worker
}

// largestFree returns the worker with the most free CPU among those that can hold a task: it needs to free the least
// capacity for it.
func (p *Pool) largestFree(o contract.TaskOrder) *ownedHost {
	var best *ownedHost
	for _, h := range p.hosts {
		if h == p.emptying || h.hasAlone() || h.host.Token == 0 || !h.host.Schedulable() || !h.host.CanHold(o.Need, o.RequiredLabel) {
			continue
		}
		if best == nil || h.host.Free().CPUMillis > best.host.Free().CPUMillis {
			best = h
		}
	}
	return best
}

// assign reserves capacity for a run and adds its start call to fx. p.mu is held.
func (p *Pool) assign(r *run, h *ownedHost, now time.Time, fx *effects) {
	h.host.Reserve(r.order.Need)
	h.offer.shrink(h.host.Free())
	p.addToHost(r, h)
	p.logLateStarts(r, h)
	r.host, r.state, r.startedAt, r.mayHaveRun, r.begun = h, runStarting, now, true, false
	r.listedAt = time.Time{}
	r.listedBy, r.confirmedClock, r.sentTo, r.firstLate = 0, 0, h.address.Worker, false
	r.progress, r.progressAt, r.token, r.workerStart = 0, now, h.host.Token, h.host.StartTime
	r.stopAnswered, r.startUnanswered, r.reportedUnanswered = false, false, false
	p.markCommitted(r.order.Key.Batch, now)
	if p.o.Overload.Shed {
		p.shares.add(r.order.Route, r.order.Expected, r.order.Need.CPUMillis, now)
		p.shares.count(p.isLarge(r), true, now)
	}
	fx.starts = append(fx.starts, p.startCall(r, h, now))
	h.wake()
}

// markCommitted marks the queued tasks of a job once one of its tasks is started. p.mu is held.
func (p *Pool) markCommitted(batch string, now time.Time) {
	if _, ok := p.lastStarts[batch]; !ok {
		for _, r := range p.waiting.runs {
			r.committed = r.committed || r.order.Key.Batch == batch
		}
	}
	p.lastStarts[batch] = now
}

// learnSize updates the typical size of a task, the unit in which capacity is counted in slots. p.mu is held.
func (p *Pool) learnSize(need machine.Resources) {
	if p.typicalSize.CPUMillis == 0 {
		p.typicalSize = need
		return
	}
	p.typicalSize.CPUMillis += int(sizeWeight * float64(need.CPUMillis-p.typicalSize.CPUMillis))
	p.typicalSize.MemoryMB += int(sizeWeight * float64(need.MemoryMB-p.typicalSize.MemoryMB))
}
