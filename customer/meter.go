package customer

import (
	"math"
	"time"
)

// meterWindow is the time over which a rate of work is averaged. It is well below the 2 s in which a load peak begins
// and ends.
const meterWindow = 500 * time.Millisecond

// meter is an exponentially decaying average of work per second, that is, of the number of slots that the work uses.
type meter struct {
	value float64
	last  time.Time
}

func (m *meter) add(work time.Duration, now time.Time) {
	m.value = m.at(now) + work.Seconds()/meterWindow.Seconds()
	m.last = now
}

func (m *meter) at(now time.Time) float64 {
	if !now.After(m.last) {
		return m.value
	}
	return m.value * math.Exp(-now.Sub(m.last).Seconds()/meterWindow.Seconds())
}
