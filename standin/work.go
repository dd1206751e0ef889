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
	shortestTask = 50 * time.Millisecond
	taskSpread   = 250 * time.Millisecond
	dailyCents   = 2500
)

// DeploymentWork serves the request kinds of both deployments' schema files.
func DeploymentWork(_, kind string, payload []byte) ([]byte, time.Duration, error) {
	h := fnv.New32a()
	// Writing to a hash never fails.
	_, _ = h.Write(payload)
	run := shortestTask + time.Duration(h.Sum32())%taskSpread
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
		return &glashaus.PriceHireReply{PriceCents: int64(r.GetHeaters()) * int64(r.GetDays()) * dailyCents}, err
	case "ConfirmDelivery":
		return &glashaus.ConfirmDeliveryReply{Confirmed: true}, proto.Unmarshal(payload, &glashaus.ConfirmDeliveryRequest{})
	case "CancelBooking":
		return &glashaus.CancelBookingReply{RefundCents: dailyCents}, proto.Unmarshal(payload, &glashaus.CancelBookingRequest{})
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
