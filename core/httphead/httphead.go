// Package httphead limits the heads of HTTP messages that the process receives. The head
// of a message is its start line and its header fields. net/http limits the heads of
// requests only by bytes and only if configured to, and http.ReadResponse does not limit
// the heads of responses at all.
package httphead

import (
	"bufio"
	"bytes"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
)

const (
	// MaxBytes is the maximum size of the head of a message from callers, upstreams and
	// operators. It is twice the limit for callers that the users' configurations set, so
	// that valid requests do not fail if a configuration sets a larger limit. A server of
	// net/http allows 4 KiB more.
	MaxBytes = 32 << 10
	// MaxNodeBytes is the maximum size of the head of a message between nodes: a forwarded
	// head, including the 4 KiB more that a server allows, and the header fields that nodes
	// add, the longest of which has 1 KiB.
	MaxNodeBytes = MaxBytes + 8<<10
	// MaxLines is the maximum number of lines in the head of a response. A limit on bytes
	// alone does not limit memory: a parsed field of 5 bytes occupies 117 bytes, and a head
	// of 20 KB with 4,001 such fields occupies 471 KB.
	MaxLines = 256
	// MaxNodeLines is MaxLines for messages between nodes, which add fewer than 16 fields.
	MaxNodeLines = MaxLines + 16
)

// Limits are the maximum numbers of bytes and lines in the head of a response.
type Limits struct{ Bytes, Lines int }

// Limits of responses from other programs, such as upstreams, and of responses from nodes.
var (
	ExternalLimits = Limits{Bytes: MaxBytes, Lines: MaxLines}
	NodeLimits     = Limits{Bytes: MaxNodeBytes, Lines: MaxNodeLines}
)

// Errors of ReadResponse. The connection must not be used after an error.
var (
	ErrTooLarge  = errors.New("response head is too large")
	errTruncated = errors.New("response head is truncated")
)

// Reader reads HTTP responses from a connection. Bodies are read through the embedded
// buffer, which the caller may also use between two heads.
type Reader struct {
	*bufio.Reader
	scanner headScanner
}

// NewReader returns a Reader that reads from r and limits heads to l.
func NewReader(r io.Reader, l Limits) *Reader {
	h := &Reader{scanner: headScanner{r: r, max: l, passThrough: true}}
	h.Reader = bufio.NewReader(&h.scanner)
	return h
}

// ReadResponse reads the head of the next response, which may be an interim (1xx)
// response. Its memory is limited whatever the peer sends. It blocks until the head is
// complete, exceeds its limits, or the connection ends.
func (h *Reader) ReadResponse(r *http.Request) (*http.Response, error) {
	buffered, err := h.Peek(h.Buffered())
	if err != nil {
		return nil, err
	}
	if err := h.scanner.begin(buffered); err != nil {
		return nil, err
	}
	resp, err := http.ReadResponse(h.Reader, r)
	limitErr, complete := h.scanner.err, h.scanner.complete
	h.scanner.passThrough = true
	switch {
	case limitErr != nil:
		return nil, limitErr
	case err != nil:
		return nil, err
	case !complete:
		return nil, errTruncated
	}
	return resp, nil
}

// headScanner counts the bytes and lines of a head as the parser reads them, and fails the
// read when a limit is exceeded.
type headScanner struct {
	r   io.Reader
	max Limits
	// passThrough is set while no head is read; bytes are not counted then.
	passThrough bool
	// complete is set after the empty line at the end of the head.
	complete bool
	// bytes and lines count the head so far; lineLen is the length of the current line.
	bytes, lines, lineLen int
	// startsWithCR is set if the current line starts with a carriage return.
	startsWithCR bool
	err          error
}

// begin starts a new head. The buffer of the Reader already holds buffered, which is the
// start of the head and may extend beyond its end.
func (s *headScanner) begin(buffered []byte) error {
	*s = headScanner{r: s.r, max: s.max}
	return s.scan(buffered)
}

// Read implements io.Reader.
func (s *headScanner) Read(p []byte) (int, error) {
	if s.passThrough {
		return s.r.Read(p)
	}
	if s.err != nil {
		return 0, s.err
	}
	if s.complete {
		// The parser did not recognize the end of the head and would read on into the body.
		s.err = errors.New("response head has no valid end")
		return 0, s.err
	}
	n, err := s.r.Read(p)
	if serr := s.scan(p[:n]); serr != nil {
		return 0, serr
	}
	return n, err
}

// scan counts the bytes of b that belong to the head.
func (s *headScanner) scan(b []byte) error {
	for len(b) > 0 && !s.complete {
		n := bytes.IndexByte(b, '\n') + 1
		full := n > 0
		if !full {
			n = len(b)
		}
		if s.lineLen == 0 {
			s.startsWithCR = b[0] == '\r'
		}
		s.lineLen += n
		s.bytes += n
		if full {
			s.complete = s.lineLen == 1 || s.lineLen == 2 && s.startsWithCR
			s.lines++
			s.lineLen = 0
		}
		if s.bytes > s.max.Bytes || s.lines > s.max.Lines {
			s.err = ErrTooLarge
			return s.err
		}
		b = b[n:]
	}
	return nil
}
