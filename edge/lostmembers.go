package edge

import (
	"context"
	"slices"
	"time"
)

const (
	// lossTimeout is the time for which a listed member has been silent when the others remove it from the list. Jobs depend on a
	// majority of all listed members, so those that are gone for good must not add up.
	lossTimeout = 2 * time.Minute
	// removalInterval is the time between checks for members to remove.
	removalInterval = 10 * time.Second
)

// Lost returns the VMs whose processes have been silent for lossTimeout, if this process is the one to remove them from the list:
// the first of the live members.
func (m *Members) Lost(now time.Time) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var lost []string
	for vm, e := range m.byVM {
		switch {
		case e.live && vm < m.self.VM:
			return nil
		case !e.live && !e.silentSince.IsZero() && now.Sub(e.silentSince) > lossTimeout:
			lost = append(lost, vm)
		}
	}
	slices.Sort(lost)
	return lost
}

// knowsNoMembers reports whether this process has neither read the list of members nor heard of any: it may not be the only one.
func (d *Daemon) knowsNoMembers() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.membersRead && d.members.Count() == 0
}

// removeLost removes members from the store's list that have been silent for long. Only a process in contact with a majority may
// do so: the members on the other side of a cut would otherwise remove each other, and both sides would be a majority.
func (d *Daemon) removeLost(ctx context.Context, now time.Time) {
	if now.Sub(d.removedAt) < removalInterval {
		return
	}
	d.removedAt = now
	if d.members.IsCutOff(now) {
		return
	}
	for _, vm := range d.members.Lost(now) {
		d.o.Logger.Warn("member has been silent for long; removing it from the list", "vm", vm, "silent_for_at_least", lossTimeout)
		d.spawn(func() {
			if err := d.o.Store.RemoveMember(ctx, vm); err != nil {
				d.o.Logger.Warn("store did not confirm the removal of a silent member; retrying", "vm", vm, "error", err)
			}
		})
	}
}

// announceAgain publishes this process again if the others have removed it from the list while they did not hear it.
func (d *Daemon) announceAgain(ctx context.Context, listed bool) {
	d.mu.Lock()
	again := !listed && d.published && !d.stopping
	if again {
		d.published = false
	}
	d.mu.Unlock()
	if again {
		d.o.Logger.Warn("this process is no longer listed; announcing it again", "member", d.self)
		d.spawn(func() { d.announce(ctx) })
	}
}
