package dispatch

import "time"

// backlog tells how long the oldest waiting task of a class has waited. Tasks leave it in the order of their arrival,
// whatever the order of the queue: what entry VMs compare is how far they are behind, and a task that the queue puts
// back for others must not make all of its entry VM's work look old.
type backlog struct {
	arrivals []arrival
	head     int
	length   int
}

// arrival is a number of tasks that were queued at the same time.
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

// trim removes the oldest tasks until n are left. Tasks that were queued without push count as queued now.
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

// compact reclaims the space of tasks that have left.
func (b *backlog) compact() {
	if b.head < len(b.arrivals) && b.head < 1024 {
		return
	}
	b.arrivals = append(b.arrivals[:0], b.arrivals[b.head:]...)
	b.head = 0
}

// wait returns the wait of the oldest task, at least a nanosecond, and zero without any.
func (b *backlog) wait(now time.Time) time.Duration {
	if b.length == 0 {
		return 0
	}
	return max(1, now.Sub(b.arrivals[b.head].at))
}
