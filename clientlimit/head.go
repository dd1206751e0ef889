package clientlimit

import (
	"bytes"
	"strconv"
)

// bodyKind is how the end of a body is found.
type bodyKind uint8

const (
	// fixedBody has an announced length, which may be 0.
	fixedBody bodyKind = iota
	chunkedBody
)

// headScanner reads the head of a request as far as its end and its body depend on it. The server parses the rest.
type headScanner struct {
	// line is the start of the first line that is not complete, searched the end of the bytes without a line end.
	line, searched int
	body           bodyKind
	length         int
	hasLength      bool
	// expectsContinue is set if the client waits for an interim response before it sends the body.
	expectsContinue bool
}

const (
	lengthField   = "content-length"
	encodingField = "transfer-encoding"
	expectField   = "expect"
)

var (
	identityEncoding  = []byte("identity")
	continueCondition = []byte("100-continue")
)

// scan continues with bytes that begin with those of the last call. It returns the length of the head once that is complete, else 0.
func (s *headScanner) scan(b []byte) (length int, refused Refusal) {
	for {
		n := bytes.IndexByte(b[s.searched:], '\n')
		if n < 0 {
			s.searched = len(b)
			return 0, Accepted
		}
		end := s.searched + n
		line := bytes.TrimSuffix(b[s.line:end], []byte{'\r'})
		first := s.line == 0
		s.line, s.searched = end+1, end+1
		switch {
		case len(line) == 0 && first:
			return 0, Malformed
		case len(line) == 0:
			return s.line, Accepted
		case first:
		case !s.field(line):
			return 0, Malformed
		}
	}
}

// field notes a field that decides on the body. It returns false for one that leaves the end of the body open.
func (s *headScanner) field(line []byte) bool {
	// Most fields begin with another letter.
	switch line[0] | 0x20 {
	case lengthField[0], encodingField[0], expectField[0]:
	default:
		return true
	}
	name, value, found := bytes.Cut(line, []byte{':'})
	if !found {
		return true
	}
	value = bytes.TrimSpace(value)
	switch {
	case equalField(name, lengthField):
		return s.fixed(value)
	case equalField(name, encodingField):
		if bytes.Equal(value, identityEncoding) {
			return true
		}
		s.body = chunkedBody
		return !s.hasLength
	case equalField(name, expectField):
		s.expectsContinue = bytes.EqualFold(value, continueCondition)
	}
	return true
}

// fixed notes an announced length. A second length, or one beside chunks, is not accepted.
func (s *headScanner) fixed(value []byte) bool {
	n, err := strconv.ParseUint(string(value), 10, 63)
	if err != nil || s.hasLength && int(n) != s.length || s.body == chunkedBody {
		return false
	}
	s.length, s.hasLength = int(n), true
	return true
}

// equalField compares the name of a field with one in small letters.
func equalField(name []byte, want string) bool {
	if len(name) != len(want) {
		return false
	}
	for n := range name {
		c := name[n]
		if 'A' <= c && c <= 'Z' {
			c |= 0x20
		}
		if c != want[n] {
			return false
		}
	}
	return true
}
