package httphead

import (
	"bytes"
	"net/http"

	"github.com/celeryyard/celeryyard/core/account"
)

// Costs of a request in bytes of memory. They were measured with the heads of TestCostOfHeads, which compares them with the heap.
const (
	// RequestCost is the cost of a request without its head: two goroutines, contexts and the buffer of the response.
	RequestCost = 16 << 10
	// ConnectionCost is the cost of an open connection: a goroutine, contexts and a buffer of 4 KiB.
	ConnectionCost = 12 << 10
	// fieldCost is the cost of a header line in addition to its bytes. The parsed field takes up to 140 bytes in the map,
	// its value slice and its strings, and its copy for the next hop up to 96 in a second map.
	fieldCost = 236
	// byteCost is the cost of each byte of a head: the received bytes and the strings of the fields.
	byteCost = 2
)

// RequestLimits are the limits of the head of one request and of its trailers.
type RequestLimits struct {
	// Lines is the number of header lines, FoldedLines that of continuation lines (RFC 9112, section 5.2), and TrailerLines
	// that of trailer lines.
	Lines, FoldedLines, TrailerLines int
	// NameBytes and ValueBytes bound the name and the value of a field.
	NameBytes, ValueBytes int
	// Bytes bounds the head.
	Bytes int
}

// DefaultRequestLimits returns limits that no head of 16,384 bytes reaches: the shortest field takes 3 bytes, and the shortest
// continuation line 2. A trailer has at most 4 KiB, the size of the buffer in which net/http looks for its end.
func DefaultRequestLimits() RequestLimits {
	return RequestLimits{Lines: 5500, FoldedLines: 8192, TrailerLines: 1400, NameBytes: 16 << 10, ValueBytes: MaxBytes, Bytes: MaxNodeBytes}
}

// Names of the limits, which are those of the settings.
const (
	LimitLines        = "pressure/max_lines"
	LimitFoldedLines  = "pressure/max_folded_lines"
	LimitTrailerLines = "pressure/max_trailer_lines"
	LimitNameBytes    = "pressure/max_name_bytes"
	LimitValueBytes   = "pressure/max_value_bytes"
	limitHeadBytes    = "max_header_bytes"
)

// requestScanner finds the ends of the heads and bodies of requests and counts the lines of heads. The server states after each
// head what body follows.
type requestScanner struct {
	max RequestLimits
	// bytes, lines and folded count the current head or trailer.
	bytes, lines, folded int
	// line is the length of the current line so far; name that of its part before the colon, -1 until that was found.
	line, name int
	first      byte
	// body is the rest of a body of known length.
	body int64
	// chunks reads a body of unknown length; nil for none.
	chunks *chunkScanner
	// passThrough is set once the stream is malformed. The server refuses it.
	passThrough bool
}

// scan scans received bytes and returns the number of them that may be passed on. complete is set if they end a head. If it
// returns 0 and no error, all bytes belong to a head that is not complete.
func (s *requestScanner) scan(b []byte) (n int, complete bool, err error) {
	switch {
	case s.passThrough:
		return len(b), false, nil
	case s.body > 0:
		n = int(min(int64(len(b)), s.body))
		s.body -= int64(n)
		return n, false, nil
	case s.chunks != nil:
		n, err = s.scanChunks(b)
		return n, false, err
	}
	short := min(s.max.NameBytes, s.max.ValueBytes)
	for n < len(b) {
		part := b[n:]
		end := bytes.IndexByte(part, '\n') + 1
		if end > 0 {
			part = part[:end]
		}
		n += len(part)
		var ends bool
		if s.line == 0 && 0 < end && end <= short {
			s.bytes += end
			ends, err = s.endLine(end, part[0])
		} else {
			ends, err = s.scanPart(part, end > 0)
		}
		if err != nil || ends {
			return n, ends, err
		}
	}
	return 0, false, nil
}

// scanPart scans a part of a line, or a line that may exceed a limit. endsLine is set if it is its last part. It reports whether the
// line is the empty one at the end of the head.
func (s *requestScanner) scanPart(part []byte, endsLine bool) (endsHead bool, err error) {
	if s.line == 0 {
		s.first, s.name = part[0], -1
	}
	if s.name < 0 {
		if i := bytes.IndexByte(part, ':'); i >= 0 {
			s.name = s.line + i
		}
	}
	s.line += len(part)
	s.bytes += len(part)
	if s.bytes > s.max.Bytes {
		return false, refuse(limitHeadBytes, s.max.Bytes)
	}
	if s.line > s.max.NameBytes && s.bytes != s.line {
		if err := s.checkLongLine(); err != nil {
			return false, err
		}
	}
	if !endsLine {
		return false, nil
	}
	length := s.line
	s.line = 0
	return s.endLine(length, s.first)
}

// endLine counts a line of the given length, which starts with first.
func (s *requestScanner) endLine(length int, first byte) (endsHead bool, err error) {
	switch {
	case s.bytes > s.max.Bytes:
		return false, refuse(limitHeadBytes, s.max.Bytes)
	case length == 1 || length == 2 && first == '\r':
		return true, nil
	case first == ' ' || first == '\t':
		s.folded++
		if s.folded > s.max.FoldedLines {
			return false, refuse(LimitFoldedLines, s.max.FoldedLines)
		}
	default:
		s.lines++
		if s.lines > s.max.Lines+1 { // the first one is the request line
			return false, refuse(LimitLines, s.max.Lines)
		}
	}
	return false, nil
}

// checkLongLine checks the lengths of the name and the value of the current line, which may be incomplete.
func (s *requestScanner) checkLongLine() error {
	name := s.name
	if name < 0 {
		name = s.line
	}
	if s.first != ' ' && s.first != '\t' && name > s.max.NameBytes {
		return refuse(LimitNameBytes, s.max.NameBytes)
	}
	if s.name >= 0 && s.line-s.name > s.max.ValueBytes {
		return refuse(LimitValueBytes, s.max.ValueBytes)
	}
	return nil
}

// takeHead returns the cost of the head that was scanned, and starts a new one.
func (s *requestScanner) takeHead() int64 {
	cost := headCost(s.lines, s.bytes)
	s.bytes, s.lines, s.folded, s.line = 0, 0, 0, 0
	return cost
}

// headCost returns the cost of a head or trailer with the given numbers of lines and bytes.
func headCost(lines, n int) int64 { return int64(lines)*fieldCost + int64(n)*byteCost }

func refuse(limit string, most int) error {
	return &account.LimitError{Limit: limit, Max: int64(most), Status: http.StatusRequestHeaderFieldsTooLarge}
}
