package clientlimit

import "strconv"

// maxChunkLineBytes bounds the line with the size of a chunk and the extensions that it may have.
const maxChunkLineBytes = 256

// chunkState is the part of a chunked body that comes next.
type chunkState uint8

const (
	chunkSize chunkState = iota
	chunkData
	// chunkEnd is the line end after the data of a chunk.
	chunkEnd
	// trailer is the part after the last chunk, which is dropped.
	trailer
	chunksComplete
)

// chunkDecoder decodes a chunked body piece by piece.
type chunkDecoder struct {
	state chunkState
	// left is the number of bytes that the chunk still has.
	left int
	// line is the line that is being read. trailerBytes counts the bytes after the last chunk.
	line         []byte
	trailerBytes int
}

// next takes bytes from the beginning of b. It returns how many, and which of them belong to the contents. limit is the number of bytes
// that the contents may still have.
func (d *chunkDecoder) next(b []byte, limit int) (used int, contents []byte, refused Refusal) {
	switch d.state {
	case chunkData:
		n := min(d.left, len(b))
		if d.left -= n; d.left == 0 {
			d.state = chunkEnd
		}
		return n, b[:n], Accepted
	case chunksComplete:
		return 0, nil, Accepted
	default:
		used, complete, refused := d.readLine(b)
		if complete && refused == Accepted {
			refused = d.endLine(limit)
		}
		return used, nil, refused
	}
}

// readLine takes bytes up to the end of the line.
func (d *chunkDecoder) readLine(b []byte) (used int, complete bool, refused Refusal) {
	for n, c := range b {
		if c == '\n' {
			return n + 1, true, Accepted
		}
		if d.line = append(d.line, c); len(d.line) > maxChunkLineBytes {
			return n + 1, false, Malformed
		}
	}
	return len(b), false, Accepted
}

// endLine goes on to the next part after a line.
func (d *chunkDecoder) endLine(limit int) Refusal {
	line := d.line
	if n := len(line); n > 0 && line[n-1] == '\r' {
		line = line[:n-1]
	}
	d.line = d.line[:0]
	switch d.state {
	case chunkEnd:
		if len(line) > 0 {
			return Malformed
		}
		d.state = chunkSize
	case trailer:
		if len(line) == 0 {
			d.state = chunksComplete
		}
		if d.trailerBytes += len(line); d.trailerBytes > maxChunkLineBytes {
			return HeadTooLarge
		}
	default:
		return d.begin(line, limit)
	}
	return Accepted
}

// begin starts a chunk with the size in a line.
func (d *chunkDecoder) begin(line []byte, limit int) Refusal {
	digits := 0
	for digits < len(line) && line[digits] != ' ' && line[digits] != ';' && line[digits] != '\t' {
		digits++
	}
	size, err := strconv.ParseUint(string(line[:digits]), 16, 63)
	switch {
	case err != nil:
		return Malformed
	case size == 0:
		d.state = trailer
	case size > uint64(limit):
		return BodyTooLarge
	default:
		d.left, d.state = int(size), chunkData
	}
	return Accepted
}
