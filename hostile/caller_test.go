package hostile

import (
	"bytes"
	"encoding/binary"
	"io"
	"strings"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
)

const (
	submitPath     = "/cicadadale.v1.Dispatcher/Submit"
	createJobsPath = "/cicadadale.v1.Dispatcher/CreateJobs"
	// dynamicTableBytes is what HPACK keeps of the fields of a connection unless the server allows more.
	dynamicTableBytes = 4096
	// fieldOverheadBytes is what HPACK counts for a field beside its name and its value.
	fieldOverheadBytes = 32
	messagePrefixBytes = 5
	firstCall          = 1
	// callStep is the distance of the stream ids of two calls of a client.
	callStep = 2
)

// caller writes the frames of a gRPC client that keeps to no limits. Its fields belong to the goroutine that sends.
type caller struct {
	w      io.Writer
	frames *http2.Framer
	head   bytes.Buffer
	fields *hpack.Encoder
}

// newCaller begins a connection with the given settings.
func newCaller(w io.Writer, settings ...http2.Setting) (*caller, error) {
	if err := writeAll(w, http2.ClientPreface); err != nil {
		return nil, err
	}
	c := &caller{w: w, frames: http2.NewFramer(w, nil)}
	c.fields = hpack.NewEncoder(&c.head)
	return c, c.frames.WriteSettings(settings...)
}

// attackWithCalls lets the clients of a crowd send calls over a connection each. They read and drop what they are sent.
func (c *crowd) attackWithCalls(address string, clients int, send func(h *caller) error) {
	c.t.Helper()
	c.attackReading(address, clients, calls(send, nil))
}

// attackWithUnreadCalls is like attackWithCalls, but the clients read nothing.
func (c *crowd) attackWithUnreadCalls(address string, clients int, send func(h *caller) error, settings ...http2.Setting) {
	c.t.Helper()
	c.attack(address, clients, calls(send, settings))
}

// calls returns a client that begins a connection with the given settings and sends calls over it.
func calls(send func(h *caller) error, settings []http2.Setting) func(w io.Writer) error {
	return func(w io.Writer) error {
		h, err := newCaller(w, settings...)
		if err != nil {
			return err
		}
		return send(h)
	}
}

// begin sends the head of a call without its end.
func (c *caller) begin(stream uint32, path string, metadata ...hpack.HeaderField) error {
	c.head.Reset()
	fields := append([]hpack.HeaderField{
		{Name: ":method", Value: "POST"}, {Name: ":scheme", Value: "http"}, {Name: ":path", Value: path},
		{Name: ":authority", Value: "hostile"}, {Name: "content-type", Value: "application/grpc"}, {Name: "te", Value: "trailers"},
	}, metadata...)
	for _, f := range fields {
		if err := c.fields.WriteField(f); err != nil {
			return err
		}
	}
	return c.writeHead(stream)
}

// writeHead writes the encoded head in frames of the size that HTTP/2 allows without negotiation.
func (c *caller) writeHead(stream uint32) error {
	first := c.head.Next(headFrameBytes)
	err := c.frames.WriteHeaders(http2.HeadersFrameParam{StreamID: stream, BlockFragment: first, EndHeaders: c.head.Len() == 0})
	for err == nil && c.head.Len() > 0 {
		part := c.head.Next(headFrameBytes)
		err = c.frames.WriteContinuation(stream, c.head.Len() == 0, part)
	}
	return err
}

// send sends a part of a message whose announced length is given.
func (c *caller) send(stream uint32, announced int, part string, end bool) error {
	message := binary.BigEndian.AppendUint32([]byte{0}, uint32(announced))
	return c.frames.WriteData(stream, end, append(message, part...))
}

// eachCall runs a function for the stream of each call of a connection until it fails.
func eachCall(calls int, do func(stream uint32) error) error {
	for n := range calls {
		if err := do(firstCall + callStep*uint32(n)); err != nil {
			return err
		}
	}
	return nil
}

// storedField is a field that fills the dynamic table of HPACK, so that it takes one byte each time after the first.
func storedField() hpack.HeaderField {
	const name = "x-stored"
	return hpack.HeaderField{Name: name, Value: strings.Repeat("s", dynamicTableBytes-fieldOverheadBytes-len(name))}
}
