package hostile

import (
	"io"
	"strings"
	"testing"
)

const (
	pingFrames = 200_000
	// smallFramesBytes are sent in frames of 10 bytes, of which one belongs to a message.
	smallFramesBytes = 2_000_000
)

// Guards against messages in very small frames that stop short of their end, each of which holds more than its bytes.
func TestEntryMessagesInSmallFrames(t *testing.T) {
	d, c := startEntry(t), newCrowd(t)
	c.attackReading(d.callers, smallCrowd, func(w io.Writer) error {
		h, err := newCaller(w)
		if err != nil {
			return err
		}
		if err := h.begin(firstCall, submitPath); err != nil {
			return err
		}
		if err := h.send(firstCall, messageBytes, "", false); err != nil {
			return err
		}
		return repeat(w, strings.Repeat(frame(data, firstCall, "x"), 1000), smallFramesBytes)
	})
	d.requireServing()
}

// Guards against replies to pings that are kept for clients which never read them.
func TestEntryPingsWithoutEnd(t *testing.T) {
	d, c := startEntry(t), newCrowd(t)
	c.attack(d.callers, smallCrowd, func(w io.Writer) error {
		h, err := newCaller(w)
		if err != nil {
			return err
		}
		for range pingFrames {
			if err := h.frames.WritePing(false, [8]byte{}); err != nil {
				return err
			}
		}
		return nil
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
