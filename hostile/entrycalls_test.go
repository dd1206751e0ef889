package hostile

import (
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
	"google.golang.org/protobuf/proto"

	"github.com/cicadadale/cicadadale/api"
)

const (
	// openCalls are the calls that a client begins and never ends.
	openCalls = 2_000
	// fewOpenCalls are those of a client of a large crowd.
	fewOpenCalls = 50
	// largeCalls are calls of which each holds much.
	largeCalls = 200
	// metadataBytes is a little less than the metadata that a call may have.
	metadataBytes = 60_000
	partBytes     = 1000
	// unreadAnswers are calls of a client whose answers are large.
	unreadAnswers = 20
	resetCalls    = 20_000
	// mostJobIDs is the largest number of ids that one call may request.
	mostJobIDs = 10_000
	pingFrames = 200_000
	// smallFramesBytes are sent in frames of 10 bytes, of which one belongs to a message.
	smallFramesBytes = 2_000_000
)

// Guards against calls that callers begin and never end.
func TestEntryOpenCalls(t *testing.T) {
	d, c := startEntry(t), newCrowd(t)
	c.attackReading(d.callers, smallCrowd, func(w io.Writer) error { return sendOpenCalls(w, openCalls) })
	d.requireServing()
}

// Guards against bounds that hold only on the smallest VM.
func TestEntryOpenCallsOnALargeVM(t *testing.T) {
	d, c := startEntryOn(t, largeVM), newCrowd(t)
	c.attackReading(d.callers, smallCrowd, func(w io.Writer) error { return sendOpenCalls(w, openCalls) })
	d.requireServing()
}

// Guards against operators who get no answer while a crowd is connected to the listener for callers.
func TestEntryAdminDuringAnAttack(t *testing.T) {
	d, c := startEntry(t), newCrowd(t)
	c.attackReading(d.callers, smallCrowd, func(w io.Writer) error { return sendOpenCalls(w, openCalls) })
	for _, path := range []string{"/readyz", "/metrics"} {
		d.requireOK("http://" + d.admin + path)
	}
	d.requireServing()
}

// Guards against messages over the limit, announced or just sent.
func TestEntryMessagesOverTheLimit(t *testing.T) {
	d, c := startEntry(t), newCrowd(t)
	body := strings.Repeat(frame(data, firstCall, strings.Repeat("x", headFrameBytes)), attackBytes/headFrameBytes)
	c.attackWithCalls(d.callers, smallCrowd, func(h *caller) error {
		if err := h.begin(firstCall, submitPath); err != nil {
			return err
		}
		if err := h.send(firstCall, hugeBody, "", false); err != nil {
			return err
		}
		return repeat(h.w, body, 2*attackBytes)
	})
	d.requireServing()
}

// Guards against a bound that holds for each connection and not for all of them together.
func TestEntryOpenCallsOfManyConnections(t *testing.T) {
	d, c := startEntry(t), newCrowd(t)
	c.attackReading(d.callers, largeCrowd, func(w io.Writer) error { return sendOpenCalls(w, fewOpenCalls) })
	d.requireServing()
}

// Guards against room that is not given back when clients leave.
func TestEntryOpenCallsOfClientsThatComeBack(t *testing.T) {
	d, c := startEntry(t), newCrowd(t)
	c.attackAgain(d.callers, smallCrowd, func(w io.Writer) error { return sendOpenCalls(w, openCalls) })
	for range repeatedChecks {
		d.requireServing()
	}
}

// sendOpenCalls begins calls and never ends them.
func sendOpenCalls(w io.Writer, calls int) error {
	h, err := newCaller(w)
	if err != nil {
		return err
	}
	return eachCall(calls, func(stream uint32) error { return h.begin(stream, submitPath) })
}

// Guards against the metadata of calls that never end.
func TestEntryOpenCallsWithMetadata(t *testing.T) {
	d, c := startEntry(t), newCrowd(t)
	field := hpack.HeaderField{Name: "x-large", Value: strings.Repeat("m", metadataBytes), Sensitive: true}
	c.attackWithCalls(d.callers, smallCrowd, func(h *caller) error {
		return eachCall(largeCalls, func(stream uint32) error { return h.begin(stream, submitPath, field) })
	})
	d.requireServing()
}

// Guards against metadata that is short on the wire and long in memory.
func TestEntryOpenCallsWithCompressedMetadata(t *testing.T) {
	d, c := startEntry(t), newCrowd(t)
	stored := storedField()
	var metadata []hpack.HeaderField
	for range metadataBytes / dynamicTableBytes {
		metadata = append(metadata, stored)
	}
	c.attackWithCalls(d.callers, smallCrowd, func(h *caller) error {
		return eachCall(openCalls, func(stream uint32) error { return h.begin(stream, submitPath, metadata...) })
	})
	d.requireServing()
}

// Guards against messages that are announced as large ones, begin and never end, in many calls of a connection.
func TestEntryOpenCallsWithPartsOfMessages(t *testing.T) {
	d, c := startEntry(t), newCrowd(t)
	part := strings.Repeat("p", partBytes-messagePrefixBytes)
	c.attackWithCalls(d.callers, smallCrowd, func(h *caller) error {
		return eachCall(openCalls, func(stream uint32) error {
			if err := h.begin(stream, submitPath); err != nil {
				return err
			}
			return h.send(stream, messageBytes, part, false)
		})
	})
	d.requireServing()
}

// Guards against messages in very small frames that stop short of their end, each of which holds more than its bytes.
func TestEntryMessagesInSmallFrames(t *testing.T) {
	d, c := startEntry(t), newCrowd(t)
	c.attackWithCalls(d.callers, smallCrowd, func(h *caller) error {
		if err := h.begin(firstCall, submitPath); err != nil {
			return err
		}
		if err := h.send(firstCall, messageBytes, "", false); err != nil {
			return err
		}
		return repeat(h.w, strings.Repeat(frame(data, firstCall, "x"), 1000), smallFramesBytes)
	})
	d.requireServing()
}

// Guards against calls that are begun and reset without a pause.
func TestEntryCallsThatAreReset(t *testing.T) {
	d, c := startEntry(t), newCrowd(t)
	c.attackWithCalls(d.callers, smallCrowd, func(h *caller) error {
		return eachCall(resetCalls, func(stream uint32) error {
			if err := h.begin(stream, submitPath); err != nil {
				return err
			}
			return h.frames.WriteRSTStream(stream, http2.ErrCodeCancel)
		})
	})
	d.requireServing()
}

// Guards against replies to pings that are kept for clients which never read them.
func TestEntryPingsWithoutEnd(t *testing.T) {
	d, c := startEntry(t), newCrowd(t)
	c.attackWithUnreadCalls(d.callers, smallCrowd, func(h *caller) error {
		for range pingFrames {
			if err := h.frames.WritePing(false, [8]byte{}); err != nil {
				return err
			}
		}
		return nil
	})
	d.requireServing()
}

// Guards against answers that are kept for callers which never read them.
func TestEntryAnswersThatAreNotRead(t *testing.T) {
	d, c := startEntry(t), newCrowd(t)
	request, err := proto.Marshal(&api.CreateJobsRequest{Count: mostJobIDs})
	require.NoError(t, err)
	c.attackWithUnreadCalls(d.callers, smallCrowd, func(h *caller) error {
		return eachCall(unreadAnswers, func(stream uint32) error {
			if err := h.begin(stream, createJobsPath); err != nil {
				return err
			}
			return h.send(stream, len(request), string(request), true)
		})
	}, http2.Setting{ID: http2.SettingInitialWindowSize, Val: 0})
	d.requireServing()
}

// Guards against errors of calls that are kept for callers which never read them.
func TestEntryErrorsThatAreNotRead(t *testing.T) {
	d, c := startEntry(t), newCrowd(t)
	c.attackWithUnreadCalls(d.callers, smallCrowd, func(h *caller) error {
		return eachCall(resetCalls, func(stream uint32) error {
			if err := h.begin(stream, "/none"); err != nil {
				return err
			}
			return h.send(stream, 0, "", true)
		})
	})
	d.requireServing()
}

// Guards against connections that take the place of other callers' ones without a call.
func TestEntryConnectionsWithoutCalls(t *testing.T) {
	d, c := startEntry(t), newCrowd(t)
	c.attackReading(d.callers, beyondDescriptors, func(w io.Writer) error {
		_, err := newCaller(w)
		return err
	})
	d.requireServing()
}

// Guards against connections that take the place of other callers' ones with a call that never ends.
func TestEntryConnectionsWithAnOpenCall(t *testing.T) {
	d, c := startEntry(t), newCrowd(t)
	c.attackWithCalls(d.callers, beyondDescriptors, func(h *caller) error {
		return h.begin(firstCall, submitPath)
	})
	d.requireServing()
}

// Guards against connections that stay after their call has been answered.
func TestEntryConnectionsWithAnAnsweredCall(t *testing.T) {
	d, c := startEntry(t), newCrowd(t)
	request, err := proto.Marshal(&api.CreateJobsRequest{Count: 1})
	require.NoError(t, err)
	c.attackWithCalls(d.callers, beyondDescriptors, func(h *caller) error {
		if err := h.begin(firstCall, createJobsPath); err != nil {
			return err
		}
		return h.send(firstCall, len(request), string(request), true)
	})
	d.requireServing()
}

// Guards against heads and connections without end at the listener for operators.
func TestEntryHeadsAndConnectionsAtAdmin(t *testing.T) {
	d, c := startEntry(t), newCrowd(t)
	c.attack(d.admin, beyondDescriptors/2, func(w io.Writer) error { return writeAll(w, "GET ") })
	c.attack(d.admin, smallCrowd, func(w io.Writer) error {
		return repeat(w, "GET /"+strings.Repeat("a", 8000), attackBytes)
	})
	d.requireServing()
}

// Guards against bytes without end that are not HTTP/2.
func TestEntryBytesThatAreNoFrames(t *testing.T) {
	d, c := startEntry(t), newCrowd(t)
	for _, text := range []string{"\r\n", "GET /" + strings.Repeat("a", 8000), "\xff\xff\xff\xff\xff\xff\xff\xff\xff"} {
		c.attack(d.callers, smallCrowd, func(w io.Writer) error { return repeat(w, strings.Repeat(text, 100), attackBytes) })
	}
	d.requireServing()
}
