package hostile

import (
	"bytes"
	"encoding/binary"
	"io"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
)

const (
	submitPath         = "/cicadadale.v1.Dispatcher/Submit"
	createJobsPath     = "/cicadadale.v1.Dispatcher/CreateJobs"
	messagePrefixBytes = 5
	firstCall          = 1
)

// caller writes the frames of a gRPC client that keeps to no limits. Its fields belong to the goroutine that sends.
type caller struct {
	frames *http2.Framer
	head   bytes.Buffer
	fields *hpack.Encoder
}

// newCaller begins a connection with the given settings.
func newCaller(w io.Writer, settings ...http2.Setting) (*caller, error) {
	if err := writeAll(w, http2.ClientPreface); err != nil {
		return nil, err
	}
	c := &caller{frames: http2.NewFramer(w, nil)}
	c.fields = hpack.NewEncoder(&c.head)
	return c, c.frames.WriteSettings(settings...)
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
