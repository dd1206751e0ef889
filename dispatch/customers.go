package dispatch

import (
	"time"

	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/customer"
)

// ApplyCustomers applies weights and quotas. Invalid settings are rejected as a whole, and a revision older than the
// one in effect is ignored.
func (d *Dispatcher) ApplyCustomers(s customer.Settings) error {
	if err := s.Validate(); err != nil {
		return err
	}
	if !d.teams.Apply(s) {
		return nil
	}
	for _, sched := range d.Schedulers() {
		sched.queue.ApplyWeights()
		d.execute(sched, sched.Match(d.o.Now()))
	}
	return nil
}

// Teams returns the limits of the teams on this entry VM.
func (d *Dispatcher) Teams() *customer.Teams { return d.teams }

// SetQuotaShare sets this VM's share of a team's quota.
func (d *Dispatcher) SetQuotaShare(k customer.TeamKey, share int) {
	if d.teams.SetShare(k, share) {
		d.wakeTeam(k)
	}
}

// Reconfigure changes the deadline and priority of an unfinished job and of its waiting tasks.
func (d *Dispatcher) Reconfigure(id contract.JobID, deadline time.Time, priority int) (contract.JobProgress, error) {
	p, err := d.o.Table.Reconfigure(id, deadline, priority)
	if err != nil {
		return p, err
	}
	for _, sched := range d.Schedulers() {
		sched.queue.Reconfigure(id, deadline, priority)
	}
	return p, nil
}

// dequeue removes the waiting tasks of a job from the queues and reports the reduced demand.
func (d *Dispatcher) dequeue(id contract.JobID) {
	for _, sched := range d.Schedulers() {
		if sched.queue.Cancel(id) > 0 {
			d.execute(sched, sched.Match(d.o.Now()))
		}
	}
}

// wake offers quota that a task has released to the waiting tasks of its team.
func (d *Dispatcher) wake(it customer.Item, released bool) {
	if released {
		d.wakeTeam(customer.TeamKey{Customer: it.Customer, Team: it.Team})
	}
}

func (d *Dispatcher) wakeTeam(k customer.TeamKey) {
	for _, sched := range d.Schedulers() {
		if sched.queue.Wake(k) {
			d.execute(sched, sched.Match(d.o.Now()))
		}
	}
}

// TeamDemand returns the number of a team's tasks that run or wait on this entry VM.
func (d *Dispatcher) TeamDemand(k customer.TeamKey) int {
	n := d.teams.Running(k)
	for _, sched := range d.Schedulers() {
		n += sched.queue.WaitingOf(k)
	}
	return n
}
