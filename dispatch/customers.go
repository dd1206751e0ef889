package dispatch

import (
	"time"

	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/customer"
)

// ApplyCustomers puts weights and quotas into effect. Settings with faults change nothing, and an older revision
// than the one in effect is ignored.
func (d *Dispatcher) ApplyCustomers(s customer.Settings) error {
	if err := s.Validate(); err != nil {
		return err
	}
	if !d.teams.Apply(s) {
		return nil
	}
	for _, l := range d.Lanes() {
		l.queue.ApplyWeights()
		d.carryOut(l, l.Match(d.o.Now()))
	}
	return nil
}

// Teams returns the limits of the teams on this entry VM.
func (d *Dispatcher) Teams() *customer.Teams { return d.teams }

// SetQuotaShare sets this VM's part of a team's quota.
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
	for _, l := range d.Lanes() {
		l.queue.Reconfigure(id, deadline, priority)
	}
	return p, nil
}

// dequeue takes the waiting tasks of a job out of the queues and states the smaller demand.
func (d *Dispatcher) dequeue(id contract.JobID) {
	for _, l := range d.Lanes() {
		if l.queue.Cancel(id) > 0 {
			d.carryOut(l, l.Match(d.o.Now()))
		}
	}
}

// wake offers released quota to the waiting tasks of the team that a task belongs to.
func (d *Dispatcher) wake(it customer.Item, released bool) {
	if released {
		d.wakeTeam(customer.TeamKey{Customer: it.Customer, Team: it.Team})
	}
}

func (d *Dispatcher) wakeTeam(k customer.TeamKey) {
	for _, l := range d.Lanes() {
		if l.queue.Wake(k) {
			d.carryOut(l, l.Match(d.o.Now()))
		}
	}
}

// TeamDemand counts the tasks of a team that run or wait here.
func (d *Dispatcher) TeamDemand(k customer.TeamKey) int {
	n := d.teams.Running(k)
	for _, l := range d.Lanes() {
		n += l.queue.WaitingOf(k)
	}
	return n
}
