package standin

import (
	"fmt"
	"hash/fnv"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/cicadadale/cicadadale/schemas/glashaus"
	"github.com/cicadadale/cicadadale/schemas/wakala"
)

const (
	minTaskTime    = 50 * time.Millisecond
	taskTimeSpread = 250 * time.Millisecond
	centsPerDay    = 2500
)

// DemoWork handles the request kinds of the schema files of both example deployments.
func DemoWork(_, kind string, payload []byte) ([]byte, time.Duration, error) {
	h := fnv.New32a()
	// Writing to a hash never fails.
	_, _ = h.Write(payload)
	run := minTaskTime + time.Duration(h.Sum32())%taskTimeSpread
	reply, err := reply(kind, payload)
	if err != nil {
		return nil, run, err
	}
	out, err := proto.Marshal(reply)
	return out, run, err
}

func reply(kind string, payload []byte) (proto.Message, error) {
	switch kind {
	case "PriceHire":
		var r glashaus.PriceHireRequest
		err := proto.Unmarshal(payload, &r)
		return &glashaus.PriceHireReply{PriceCents: int64(r.GetHeaters()) * int64(r.GetDays()) * centsPerDay}, err
	case "ConfirmDelivery":
		return &glashaus.ConfirmDeliveryReply{Confirmed: true},
			proto.Unmarshal(payload, &glashaus.ConfirmDeliveryRequest{})
	case "CancelBooking":
		return &glashaus.CancelBookingReply{RefundCents: centsPerDay},
			proto.Unmarshal(payload, &glashaus.CancelBookingRequest{})
	case "CheckPlot":
		return &wakala.CheckPlotReply{Open: true}, proto.Unmarshal(payload, &wakala.CheckPlotRequest{})
	case "IssueOrder":
		var r wakala.IssueOrderRequest
		err := proto.Unmarshal(payload, &r)
		return &wakala.IssueOrderReply{Order: "order-" + r.GetPlot()}, err
	case "AlertCrew":
		return &wakala.AlertCrewReply{Alerted: true}, proto.Unmarshal(payload, &wakala.AlertCrewRequest{})
	default:
		return nil, fmt.Errorf("unknown request kind %q", kind)
	}
}
