package customer

import (
	"math"
	"time"
)

// meterSpan is the time over which a rate of work is averaged. It is well below the 2 s in which a crest begins and
// ends.
const meterSpan = 500 * time.Millisecond

// meter is a decaying average of work per second, which is the number of slots that the work takes.
type meter struct {
	value float64
	last  time.Time
}

func (m *meter) add(work time.Duration, now time.Time) {
	m.value = m.at(now) + work.Seconds()/meterSpan.Seconds()
	m.last = now
}

func (m *meter) at(now time.Time) float64 {
	if !now.After(m.last) {
		return m.value
	}
	return m.value * math.Exp(-now.Sub(m.last).Seconds()/meterSpan.Seconds())
}
