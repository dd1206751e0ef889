package edge

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing/synctest"
	"time"

	"github.com/cicadadale/cicadadale/machine"
	"github.com/cicadadale/cicadadale/standin"
)

// occupy reserves a machine for a fault. It reports whether no other fault has reserved it.
func (c *overlap) occupy(name string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.busy[name] {
		return false
	}
	c.busy[name] = true
	return true
}

func (c *overlap) release(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy[name] = false
}

func (c *overlap) setLate(late, lost int) {
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	c.net.latePercent, c.net.lostPercent = late, lost
}

func (c *overlap) lateCalls(rng *rand.Rand) string {
	percent := 5 + rng.IntN(45)
	c.setLate(percent, 0)
	time.Sleep(faultTime(rng))
	c.setLate(0, 0)
	return fmt.Sprintf("%d%% late calls", percent)
}

func (c *overlap) lossyReplies(rng *rand.Rand) string {
	percent := 5 + rng.IntN(30)
	c.setLate(0, percent)
	time.Sleep(faultTime(rng))
	c.setLate(0, 0)
	return fmt.Sprintf("%d%% lost replies", percent)
}

// lateOrders makes a worker that answers its lists leave starts and stops without an answer, and execute them seconds later. The leases of
// the starts count from then.
func (c *overlap) lateOrders(rng *rand.Rand) string {
	id := anyWorker(rng)
	if !c.occupy(id) {
		return "nothing"
	}
	defer c.release(id)
	o := standin.LateOrders{
		StartDelay: time.Duration(1000+rng.IntN(5000)) * time.Millisecond, StopDelay: time.Duration(1000+rng.IntN(9000)) * time.Millisecond,
	}
	c.d.hosts[id].SetLateOrders(o)
	time.Sleep(faultTime(rng))
	c.d.hosts[id].EndLateOrders()
	return fmt.Sprintf("orders to %s late by %v, stops by %v", id, o.StartDelay, o.StopDelay)
}

// kill ends a daemon that is not suspended.
func (c *overlap) kill(rng *rand.Rand) string {
	vm, zone := anyDaemon(rng)
	if !c.occupy(vm) {
		return "nothing"
	}
	defer c.release(vm)
	daemon := c.removeDaemon(vm)
	if daemon == nil {
		return "nothing"
	}
	daemon.Close()
	c.d.net.closeConns(vm)
	time.Sleep(time.Duration(rng.IntN(3000)) * time.Millisecond)
	c.start(vm, zone)
	return "kill " + vm
}

func (c *overlap) stop(rng *rand.Rand) string {
	vm, zone := anyDaemon(rng)
	if !c.occupy(vm) {
		return "nothing"
	}
	defer c.release(vm)
	daemon := c.removeDaemon(vm)
	if daemon == nil {
		return "nothing"
	}
	ctx, cancel := context.WithTimeout(context.Background(), testGrace)
	defer cancel()
	daemon.Stop(ctx)
	daemon.Close()
	c.d.net.closeConns(vm)
	time.Sleep(time.Duration(rng.IntN(1000)) * time.Millisecond)
	c.start(vm, zone)
	return "stop " + vm
}

// suspend suspends the processes of a VM at a moment at which none of them holds a lock, and delays its data.
func (c *overlap) suspend(vm string) (resume func()) {
	return c.suspendHolding(vm, func(from, to string) bool { return from == vm || to == vm })
}

// suspendHolding suspends a VM and holds up the data on some links meanwhile.
func (c *overlap) suspendHolding(vm string, links func(from, to string) bool) (resume func()) {
	c.waiting <- struct{}{}
	synctest.Wait()
	c.net.mu.Lock()
	c.net.frozen[vm] = make(chan struct{})
	c.net.mu.Unlock()
	<-c.waiting
	c.mu.Lock()
	n := c.next
	c.next++
	c.delays[n] = links
	c.applyCuts()
	c.mu.Unlock()
	return func() {
		c.net.mu.Lock()
		close(c.net.frozen[vm])
		delete(c.net.frozen, vm)
		c.net.mu.Unlock()
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.delays, n)
		c.applyCuts()
	}
}

// suspendDaemons suspends one or two VMs, in some cases all of a failure domain.
func (c *overlap) suspendDaemons(rng *rand.Rand) string { return c.suspendSome(rng, false) }

// suspendWithBrokenChannels suspends VMs, and breaks the channels of their clients meanwhile.
func (c *overlap) suspendWithBrokenChannels(rng *rand.Rand) string { return c.suspendSome(rng, true) }

func (c *overlap) suspendSome(rng *rand.Rand, breaks bool) string {
	a, zone := anyDaemon(rng)
	b, _ := anyDaemon(rng)
	vms := []string{a}
	switch rng.IntN(4) {
	case 0:
		vms = []string{fmt.Sprintf("edge-%d-0", zone), fmt.Sprintf("edge-%d-1", zone)}
	case 1:
		vms = []string{a, b}
	}
	var resume []func()
	for _, vm := range vms {
		if !c.occupy(vm) {
			continue
		}
		defer c.release(vm)
		resume = append(resume, c.suspend(vm))
		if breaks {
			time.AfterFunc(time.Duration(rng.IntN(1000))*time.Millisecond, func() { c.breakChannels(vm, 0) })
		}
	}
	time.Sleep(time.Duration(200+rng.IntN(5000)) * time.Millisecond)
	for _, r := range resume {
		time.Sleep(time.Duration(rng.IntN(3)) * time.Millisecond)
		r()
	}
	return fmt.Sprintf("suspend %v, broken channels %v", vms, breaks)
}

func (c *overlap) resetChannels(rng *rand.Rand) string {
	vm, _ := anyDaemon(rng)
	if !c.occupy(vm) {
		return "nothing"
	}
	defer c.release(vm)
	c.breakChannels(vm, time.Duration(rng.IntN(20))*time.Millisecond)
	time.Sleep(50 * time.Millisecond)
	return "reset the channels of " + vm
}

// isolateHome cuts a daemon off from its clients, the other daemons and the workers.
func (c *overlap) isolateHome(rng *rand.Rand) string { return c.isolate(rng, true) }

// isolateHomeWithWorkers cuts a daemon off from its clients and the other daemons, but not from the workers.
func (c *overlap) isolateHomeWithWorkers(rng *rand.Rand) string { return c.isolate(rng, false) }

func (c *overlap) isolate(rng *rand.Rand, workers bool) string {
	vm, _ := anyDaemon(rng)
	if !c.occupy(vm) {
		return "nothing"
	}
	defer c.release(vm)
	duration := faultTime(rng)
	c.breakChannels(vm, duration)
	c.cut(duration, func(from, to string) bool {
		if strings.HasPrefix(to, "worker") {
			return workers && from == vm
		}
		return from == vm || to == vm
	})
	time.Sleep(10 * time.Millisecond)
	return fmt.Sprintf("isolate %s, also from the workers: %v", vm, workers)
}

// restartWorkers lets one or two workers crash and come back under their ids, at the same or exchanged or new addresses.
func (c *overlap) restartWorkers(rng *rand.Rand) string {
	workers := []string{anyWorker(rng)}
	if other := anyWorker(rng); rng.IntN(3) == 0 && other != workers[0] {
		workers = append(workers, other)
	}
	for i, id := range workers {
		if !c.occupy(id) {
			workers = workers[:i]
			break
		}
		defer c.release(id)
	}
	if len(workers) == 0 {
		return "nothing"
	}
	addresses := make([]string, len(workers))
	for i, id := range workers {
		addresses[i] = c.addressOf(id)
		c.d.hosts[id].Crash()
		c.net.setListening(addresses[i], "")
	}
	down := faultTime(rng)
	if rng.IntN(2) == 0 {
		down = time.Duration(1+rng.IntN(100)) * time.Millisecond
	}
	time.Sleep(down)
	what := "the same address"
	switch rng.IntN(4) {
	case 0:
		slices.Reverse(addresses)
		what = "exchanged addresses"
	case 1:
		c.mu.Lock()
		c.moves++
		addresses[len(addresses)-1] = fmt.Sprintf("moved-%d", c.moves)
		c.mu.Unlock()
		what = "a new address"
	}
	for i, id := range workers {
		c.d.hosts[id].Restart()
		c.net.setListening(addresses[i], id)
	}
	// The entry of the new incarnation appears some time after its start.
	time.Sleep(time.Duration(rng.Int64N(int64(listingDelay))))
	for i, id := range workers {
		c.list(id, func(l *machine.Listing) { l.Address, l.StartTime = addresses[i], c.d.hosts[id].StartTime() })
	}
	return fmt.Sprintf("restart %v after %v at %s", workers, down, what)
}

func (c *overlap) addressOf(id string) string {
	c.d.store.mu.Lock()
	defer c.d.store.mu.Unlock()
	i := slices.IndexFunc(c.d.store.workers, func(l machine.Listing) bool { return l.Worker == id })
	return c.d.store.workers[i].Address
}

// list changes the entry of a worker, and returns the one before.
func (c *overlap) list(id string, change func(*machine.Listing)) (last machine.Listing) {
	c.d.store.update(func() {
		workers := slices.Clone(c.d.store.workers)
		for i := range workers {
			if workers[i].Worker == id {
				last = workers[i]
				change(&workers[i])
			}
		}
		c.d.store.workers = workers
	})
	return last
}

// staleEntry restarts a worker at another address. The store then returns the entry of the earlier incarnation once more.
func (c *overlap) staleEntry(rng *rand.Rand) string {
	id := anyWorker(rng)
	if !c.occupy(id) {
		return "nothing"
	}
	defer c.release(id)
	address := c.addressOf(id)
	c.d.hosts[id].Crash()
	c.net.setListening(address, "")
	time.Sleep(faultTime(rng) / 4)
	moved := address
	if rng.IntN(2) == 0 {
		c.mu.Lock()
		c.moves++
		moved = fmt.Sprintf("moved-%d", c.moves)
		c.mu.Unlock()
	}
	c.d.hosts[id].Restart()
	c.net.setListening(moved, id)
	last := c.list(id, func(l *machine.Listing) { l.Address, l.StartTime = moved, c.d.hosts[id].StartTime() })
	time.Sleep(faultTime(rng))
	newer := c.list(id, func(l *machine.Listing) { *l = last })
	time.Sleep(faultTime(rng) / 4)
	c.list(id, func(l *machine.Listing) { *l = newer })
	return fmt.Sprintf("stale entry of %s, moved from %s to %s", id, address, moved)
}
