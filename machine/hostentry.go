package machine

// EntryCurrent reports whether the worker's entry describes the incarnation that replied last. A new incarnation may be of
// another kind, so after a restart the labels of the last known entry say nothing until the next one has been read.
func (h *Host) EntryCurrent() bool {
	return h.Listing.StartTime == 0 || h.StartTime == 0 || h.Listing.StartTime == h.StartTime
}

// CanHold reports whether the worker, when idle, can run a task of that size that requires the label, if any.
func (h *Host) CanHold(need Resources, label string) bool {
	if label != "" && !h.EntryCurrent() {
		return false
	}
	return h.Listing.CanHold(need, label)
}

// InRack reports whether the worker is known to be in a rack.
func (h *Host) InRack(rack string) bool { return h.EntryCurrent() && h.Listing.HasLabel(rack) }

// Draining reports whether the worker drains. An incarnation that has ended can no longer drain; one that has not replied
// yet can.
func (h *Host) Draining() bool {
	ended := h.Listing.StartTime != 0 && h.Listing.StartTime < h.StartTime
	return h.Listing.Draining && !ended
}

// Schedulable reports whether the worker's operators let new tasks start: it does not drain and is not evacuated.
func (h *Host) Schedulable() bool { return !h.Draining() && !h.Evacuated }

// Kind returns the kind of worker, which the first label of its entry names; it is empty if that is not known.
func (h *Host) Kind() string {
	if len(h.Listing.Labels) == 0 || !h.EntryCurrent() {
		return ""
	}
	return h.Listing.Labels[0]
}
