package contract

// Outgrow counts a slot in use that was granted for short work as held by long work.
func (h *Holdings) Outgrow(s Slot) {
	w, ok := h.workers[s.Worker]
	if !ok || s.Long || w.Short == 0 {
		return
	}
	w.Short--
	w.Long++
}
