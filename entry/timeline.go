package entry

import "github.com/cicadadale/cicadadale/timeline"

// TimelineDisabled is the value of Options.TimelineEvents that disables the timeline.
const TimelineDisabled = -1

// newTimeline returns the ring selected by the options, nil for none.
func newTimeline(o Options, clock *timeline.Clock) *timeline.Ring {
	if o.TimelineEvents < 0 {
		return nil
	}
	if o.TimelineEvents == 0 {
		o.TimelineEvents = timeline.DefaultEvents
	}
	p := timeline.Process{VM: o.VM.ID, Incarnation: o.VM.Incarnation}
	return timeline.NewRing(p, o.TimelineEvents, clock, o.Now)
}
