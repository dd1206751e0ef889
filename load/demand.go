package load

import "time"

// cycle returns the length of one cycle: lead, ramp up, hold and ramp down.
func (d WorkloadDemand) cycle() time.Duration {
	return time.Duration(d.Lead + d.Ramp + d.Hold + d.Ramp)
}

// Level returns the demand at time t of the run, as a share of the capacity.
func (d WorkloadDemand) Level(t time.Duration) float64 {
	if d.Peak == 0 {
		return d.Base
	}
	at := t % d.cycle()
	up, ramp := at-time.Duration(d.Lead), time.Duration(d.Ramp)
	down := up - ramp - time.Duration(d.Hold)
	switch {
	case up < 0:
		return d.Base
	case up < ramp:
		return d.Base + (d.Peak-d.Base)*float64(up)/float64(ramp)
	case down < 0:
		return d.Peak
	default:
		return d.Peak - (d.Peak-d.Base)*float64(down)/float64(ramp)
	}
}

// Span is a part of a run, in time since its start.
type Span struct{ From, To time.Duration }

// Contains reports whether t lies in the span.
func (s Span) Contains(t time.Duration) bool { return t >= s.From && t < s.To }

// Peaks returns the parts of the run in which the demand is at its peak, or the whole run if the workload has no peak.
func (d WorkloadDemand) Peaks(run time.Duration) []Span {
	if d.Peak == 0 {
		return []Span{{To: run}}
	}
	var out []Span
	for begin := time.Duration(d.Lead + d.Ramp); begin < run; begin += d.cycle() {
		out = append(out, Span{From: begin, To: min(begin+time.Duration(d.Hold), run)})
	}
	return out
}
