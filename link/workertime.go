package link

import (
	"strconv"

	"github.com/cloudwego/hertz/pkg/protocol"
)

// sendTime adds the logical time to a request, so that the worker's events are ordered after those that caused them.
func (l *Workers) sendTime(req *protocol.Request) {
	req.Header.Set(HeaderLamport, strconv.FormatUint(l.clock.Tick(), 10))
}

// receiveTime merges the worker's logical time into the clock. A worker without a timeline sends none.
func (l *Workers) receiveTime(resp *protocol.Response) {
	if t, err := strconv.ParseUint(string(resp.Header.Peek(HeaderLamport)), 10, 64); err == nil {
		l.clock.Observe(t)
	}
}
