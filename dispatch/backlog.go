package dispatch

import "time"

// backlog reports how long the oldest waiting task of a class has waited. Tasks leave it in order of arrival,
// regardless of the order of the queue: entry VMs compare how far they are behind, and a task that the queue defers in
// favour of others must not make all work of its entry VM look old.
type backlog struct {
	arrivals []arrival
	head     int
	length   int
}

// arrival is a group of tasks that were queued at the same time.
type arrival struct {
	at    time.Time
	tasks int
}

func (b *backlog) push(n int, at time.Time) {
	if n <= 0 {
		return
	}
	b.length += n
	if last := len(b.arrivals) - 1; last >= b.head && b.arrivals[last].at.Equal(at) {
		b.arrivals[last].tasks += n
		return
	}
	b.arrivals = append(b.arrivals, arrival{at: at, tasks: n})
}

// trim removes the oldest tasks until n are left. Tasks that were queued without a call of push count as queued at now.
func (b *backlog) trim(n int, now time.Time) {
	b.push(n-b.length, now)
	for b.length > n {
		first := &b.arrivals[b.head]
		left := min(first.tasks, b.length-n)
		first.tasks -= left
		b.length -= left
		if first.tasks == 0 {
			b.head++
		}
	}
	b.compact()
}

// compact reclaims the space of removed arrivals once all or at least 1024 are removed, so that few calls copy.
func (b *backlog) compact() {
	if b.head < len(b.arrivals) && b.head < 1024 {
		return
	}
	b.arrivals = append(b.arrivals[:0], b.arrivals[b.head:]...)
	b.head = 0
}

// wait returns how long the oldest task has waited, at least one nanosecond, or zero if there is none.
func (b *backlog) wait(now time.Time) time.Duration {
	if b.length == 0 {
		return 0
	}
	return max(1, now.Sub(b.arrivals[b.head].at))
}
