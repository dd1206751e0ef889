package entry

import "github.com/cicadadale/cicadadale/timeline"

// NoEvents is the value of Options.Events that disables the timeline.
const NoEvents = -1

// newTimeline returns the ring selected by the options, nil for none.
func newTimeline(o Options, clock *timeline.Clock) *timeline.Ring {
	if o.Events < 0 {
		return nil
	}
	if o.Events == 0 {
		o.Events = timeline.DefaultEvents
	}
	p := timeline.Process{VM: o.VM.ID, Incarnation: o.VM.Incarnation}
	return timeline.NewRing(p, o.Events, clock, o.Now)
}
