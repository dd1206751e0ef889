package edge

// readinessFacts are what decides whether the balancer should send clients to this process.
type readinessFacts struct {
	stopping, hasDesired bool
	// ownerKnown is set if the workers of some back end have a known owner.
	ownerKnown bool
	// listed and live count the other members: those that are known, and those of them in contact.
	listed, live int
}

// ready decides whether this process can accept jobs. It does not have to own workers yet: jobs wait for owners, which are known
// within half a second, while the balancer checks only once a second.
func (f readinessFacts) ready() bool { return !f.stopping && f.hasDesired }

// alone reports whether the process has contact with nobody who owns workers or is about to, although others are listed: these
// can rather serve the balancer's clients.
func (f readinessFacts) alone() bool { return !f.ownerKnown && f.live == 0 && f.listed > 0 }

// Ready reports whether this process can accept jobs. If it may turn clients away for lack of room (Overload.Shed), it also has to be
// in contact with a member or with workers while others are listed.
func (d *Daemon) Ready() bool {
	d.mu.Lock()
	f := readinessFacts{stopping: d.stopping, hasDesired: d.desired.Version != 0}
	backends := d.desired.Backends
	d.mu.Unlock()
	if !f.ready() || !d.o.Overload.Shed {
		return f.ready()
	}
	for backend := range backends {
		if _, known := d.capacity.Wait(backend, 0); known {
			f.ownerKnown = true
		}
	}
	f.listed, f.live = d.members.Count(), len(d.members.Live())
	return !f.alone()
}
