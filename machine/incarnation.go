package machine

import (
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"strconv"
)

// Incarnation identifies one run of a process. It is random, so no store has to be contacted at process start; at
// 1,500 starts a day a collision within a month has a probability below 1e-9.
type Incarnation uint64

const incarnationDigits = 16

// NewIncarnation returns a new incarnation, never zero.
func NewIncarnation() Incarnation {
	for {
		var b [8]byte
		// rand.Read never returns an error.
		_, _ = rand.Read(b[:])
		inc := Incarnation(binary.BigEndian.Uint64(b[:]))
		if inc != 0 {
			return inc
		}
	}
}

// String returns the incarnation as 16 hexadecimal digits.
func (i Incarnation) String() string { return string(i.AppendTo(make([]byte, 0, incarnationDigits))) }

// AppendTo appends the form that String returns.
func (i Incarnation) AppendTo(b []byte) []byte {
	const digits = "0123456789abcdef"
	for shift := 4 * (incarnationDigits - 1); shift >= 0; shift -= 4 {
		b = append(b, digits[i>>shift&0xf])
	}
	return b
}

// ParseIncarnation parses the form that String returns.
func ParseIncarnation(s string) (Incarnation, error) {
	v, err := strconv.ParseUint(s, 16, 64)
	if err != nil || len(s) != incarnationDigits || v == 0 {
		return 0, fmt.Errorf("invalid incarnation %q", s)
	}
	return Incarnation(v), nil
}
