package standin

import (
	"sort"
	"time"

	"github.com/cicadadale/cicadadale/platform"
)

// stream is one stream of the log. The platform's mutex guards it.
type stream struct {
	first   uint64
	records []platform.WireRecord
	// changed is closed and replaced when waiting readers must check again.
	changed chan struct{}
}

func (s *stream) next() uint64 { return s.first + uint64(len(s.records)) }

func (s *stream) add(data []byte, now time.Time) uint64 {
	offset := s.next()
	r := platform.WireRecord{Offset: offset, UnixMS: now.UnixMilli(), Data: append([]byte(nil), data...)}
	if n := len(s.records); n > 0 {
		// Record times do not decrease, even if the clock is set back.
		r.UnixMS = max(r.UnixMS, s.records[n-1].UnixMS)
	}
	s.records = append(s.records, r)
	s.wakeReaders()
	return offset
}

func (s *stream) wakeReaders() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire deletes the records older than oldest, and the oldest of the others until at most maxRecords are left.
func (s *stream) expire(oldest time.Time, maxRecords int) {
	first := s.first
	for _, r := range s.records {
		if r.UnixMS >= oldest.UnixMilli() {
			break
		}
		first = r.Offset + 1
	}
	if n := uint64(maxRecords); s.next() > n {
		first = max(first, s.next()-n)
	}
	s.truncate(first)
}

func (s *stream) truncate(first uint64) {
	first = min(first, s.next())
	if first <= s.first {
		return
	}
	s.records = append([]platform.WireRecord(nil), s.records[first-s.first:]...)
	s.first = first
}

func (s *stream) page(from uint64, limit int) platform.WirePage {
	page := platform.WirePage{First: s.first, Next: s.next()}
	from = max(from, s.first)
	if from < page.Next {
		page.Records = s.records[from-s.first:]
	}
	if limit > 0 && len(page.Records) > limit {
		page.Records = page.Records[:limit]
	}
	return page
}

// vmHistory holds past versions of the VM list, so that it can be returned with a lag. The platform's mutex guards it.
type vmHistory struct {
	versions []vmVersion
}

type vmVersion struct {
	at  time.Time
	vms map[string]platform.VM
}

// maxListVersions bounds the versions in a vmHistory.
const maxListVersions = 1024

func (h *vmHistory) set(vm platform.VM, now time.Time) {
	vms := h.copyLast()
	vms[vm.ID] = vm
	h.push(vms, now)
}

func (h *vmHistory) remove(id string, now time.Time) {
	vms := h.copyLast()
	delete(vms, id)
	h.push(vms, now)
}

func (h *vmHistory) copyLast() map[string]platform.VM {
	out := make(map[string]platform.VM)
	if n := len(h.versions); n > 0 {
		for id, vm := range h.versions[n-1].vms {
			out[id] = vm
		}
	}
	return out
}

func (h *vmHistory) push(vms map[string]platform.VM, now time.Time) {
	h.versions = append(h.versions, vmVersion{at: now, vms: vms})
	if over := len(h.versions) - maxListVersions; over > 0 {
		h.versions = append([]vmVersion(nil), h.versions[over:]...)
	}
}

// at returns the VM list as it was at time t, ordered by id.
func (h *vmHistory) at(t time.Time) []platform.VM {
	out := []platform.VM{}
	for i := len(h.versions) - 1; i >= 0; i-- {
		if h.versions[i].at.After(t) {
			continue
		}
		for _, vm := range h.versions[i].vms {
			out = append(out, vm)
		}
		break
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}
