package contract

// ReclassifyAsLong reclassifies a short slot in use as long, because its task has exceeded the short-task limit.
func (h *Holdings) ReclassifyAsLong(s Slot) {
	w, ok := h.workers[s.Worker]
	if !ok || s.Long || w.Short == 0 {
		return
	}
	w.Short--
	w.Long++
}
