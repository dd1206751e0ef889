package soak

import (
	"google.golang.org/protobuf/proto"
	"storj.io/drpc/drpcwire"

	"github.com/cicadadale/cicadadale/api"
)

// peerSender is a load.SenderFunc for peer streams: their first envelope names the sender's VM.
func peerSender(first []byte) (vm string, decided bool) {
	var envelope []byte
	for {
		rest, frame, ok, err := drpcwire.ParseFrame(first)
		if err != nil {
			return "", true
		}
		if !ok {
			return "", false
		}
		first = rest
		if frame.Kind != drpcwire.KindMessage {
			continue
		}
		envelope = append(envelope, frame.Data...)
		if frame.Done {
			break
		}
	}
	var e api.Envelope
	if err := proto.Unmarshal(envelope, &e); err != nil {
		return "", true
	}
	return e.GetFromVm(), true
}
