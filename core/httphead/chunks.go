package httphead

import (
	"bytes"
	"net/http"

	"github.com/celeryyard/celeryyard/core/account"
)

// chunkScanner finds the end of a body in chunks (RFC 9112, section 7.1). It decides nothing about its validity.
type chunkScanner struct {
	state chunkState
	// size is the length of the current chunk while its size is read, and then its rest.
	size int64
	// sizeDone is set once the digits of the size have ended.
	sizeDone bool
	// line is the length of the current trailer line so far, and first its first byte.
	line  int
	first byte
	// lines and bytes count the trailer.
	lines, bytes int
	// reserved is the part of the cost of the trailer that was reserved.
	reserved int64
}

type chunkState int

const (
	chunkSize chunkState = iota
	chunkData
	chunkEnd // the line break after the data
	chunkTrailer
)

// maxChunkSize bounds the size that is read; net/http refuses sizes of more than 16 digits.
const maxChunkSize = 1 << 59

// scanChunks scans received bytes of a body in chunks and returns the number of them that belong to it.
func (s *requestScanner) scanChunks(b []byte) (n int, err error) {
	c := s.chunks
	for n < len(b) {
		switch c.state {
		case chunkData:
			k := int(min(int64(len(b)-n), c.size))
			n += k
			if c.size -= int64(k); c.size == 0 {
				c.state = chunkEnd
			}
		case chunkEnd:
			if b[n] == '\n' {
				c.state, c.sizeDone = chunkSize, false
			}
			n++
		case chunkSize:
			if !c.scanSize(b[n]) {
				s.passThrough = true
				return len(b), nil
			}
			n++
		case chunkTrailer:
			k, ends := c.scanTrailer(b[n:])
			n += k
			if c.lines > s.max.TrailerLines {
				return n, &account.LimitError{Limit: LimitTrailerLines, Max: int64(s.max.TrailerLines), Status: http.StatusBadRequest}
			}
			if ends {
				s.chunks = nil
				return n, nil
			}
		}
	}
	return n, nil
}

// scanSize scans one byte of the line with the size of a chunk. It returns false if the size is malformed.
func (c *chunkScanner) scanSize(b byte) bool {
	digit := int64(-1)
	switch {
	case b == '\n':
		c.state = chunkData
		if c.size == 0 {
			c.state = chunkTrailer
		}
		return true
	case '0' <= b && b <= '9':
		digit = int64(b - '0')
	case 'a' <= lower(b) && lower(b) <= 'f':
		digit = int64(lower(b)-'a') + 10
	}
	if c.sizeDone || digit < 0 {
		c.sizeDone = true
		return true
	}
	c.size = c.size<<4 | digit
	return c.size < maxChunkSize
}

// scanTrailer scans up to one line of the trailer. It returns the number of bytes and whether the line ends the body.
func (c *chunkScanner) scanTrailer(b []byte) (n int, ends bool) {
	n = bytes.IndexByte(b, '\n') + 1
	endsLine := n > 0
	if !endsLine {
		n = len(b)
	}
	if c.line == 0 {
		c.first = b[0]
	}
	c.line += n
	c.bytes += n
	if !endsLine {
		return n, false
	}
	length := c.line
	c.line = 0
	if length == 1 || length == 2 && c.first == '\r' {
		return n, true
	}
	c.lines++
	return n, false
}
