package load

import (
	"encoding/binary"
	"errors"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
)

// payloadHeader is the number of bytes before a task's identity: 8 for the nominal run time in us and 1 for the flags.
const payloadHeader = 9

const (
	flagLong byte = 1 << iota
	flagStraggler
	flagFails
)

// errTaskFails is the error of a task that the generator drew to fail.
var errTaskFails = errors.New("task was drawn to fail")

// Payload is the payload of a generated task. Identity is unique in the run; the expected result is derived from it, so
// that the result of another task is recognised.
type Payload struct {
	Identity  string
	Nominal   time.Duration
	Long      bool
	Straggler bool
	Fails     bool
}

// Encode returns the encoded payload.
func (p Payload) Encode() []byte {
	out := make([]byte, payloadHeader, payloadHeader+len(p.Identity))
	binary.BigEndian.PutUint64(out, uint64(p.Nominal.Microseconds()))
	for _, f := range []struct {
		set  bool
		flag byte
	}{{p.Long, flagLong}, {p.Straggler, flagStraggler}, {p.Fails, flagFails}} {
		if f.set {
			out[payloadHeader-1] |= f.flag
		}
	}
	return append(out, p.Identity...)
}

// DecodePayload decodes a payload that Encode returned.
func DecodePayload(b []byte) (Payload, error) {
	if len(b) <= payloadHeader {
		return Payload{}, fmt.Errorf("payload of %d bytes is too short", len(b))
	}
	flags := b[payloadHeader-1]
	return Payload{
		Identity: string(b[payloadHeader:]),
		Nominal:  time.Duration(binary.BigEndian.Uint64(b)) * time.Microsecond,
		Long:     flags&flagLong != 0, Straggler: flags&flagStraggler != 0, Fails: flags&flagFails != 0,
	}, nil
}

// ExpectedResult derives the result of a task from its identity.
func ExpectedResult(identity string) []byte {
	return fmt.Appendf(nil, "%s=%016x", identity, xxhash.Sum64String("result of "+identity))
}

// TimedWork implements standin.Work: a task takes its nominal run time and returns its expected result.
func TimedWork(_, _ string, payload []byte) ([]byte, time.Duration, error) {
	p, err := DecodePayload(payload)
	if err != nil {
		return nil, 0, err
	}
	if p.Fails {
		return nil, p.Nominal, errTaskFails
	}
	return ExpectedResult(p.Identity), p.Nominal, nil
}
