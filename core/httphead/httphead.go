// Package httphead bounds the heads of HTTP messages that come from outside the
// process. net/http bounds requests, by bytes, only when it is told how, and answers
// that http.ReadResponse reads not at all.
package httphead

import (
	"bufio"
	"bytes"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
)

const (
	// MaxBytes bounds the head of a message from callers, upstreams and operators. It is
	// twice the limit that the users' configurations state for callers, so that a
	// configuration with a larger one does not make valid requests fail. A server of
	// net/http allows 4 KiB more.
	MaxBytes = 32 << 10
	// NodeBytes bounds the heads between nodes: one that was forwarded, with the 4 KiB
	// that a server allows, and the headers that nodes add, of which the longest has 1 KiB.
	NodeBytes = MaxBytes + 8<<10
	// MaxLines bounds the lines of the head of an answer. Bytes alone do not bound the
	// memory: a field of 5 bytes holds 117 bytes once it is parsed, a head of 20 KB with
	// 4,001 of them 471 KB.
	MaxLines = 256
	// NodeLines bounds those between nodes, which add fewer than 16 fields.
	NodeLines = MaxLines + 16
)

// Limits bound the head of an answer.
type Limits struct{ Bytes, Lines int }

// Limits of answers from outside and between nodes.
var (
	Outside = Limits{Bytes: MaxBytes, Lines: MaxLines}
	Nodes   = Limits{Bytes: NodeBytes, Lines: NodeLines}
)

// Errors of heads. The connection cannot be used after any of them.
var (
	ErrTooLarge = errors.New("head of the answer is too large")
	errCut      = errors.New("head of the answer was cut")
)

// Reader reads HTTP answers from a connection. It reads bodies through the embedded
// buffer, which the caller may use between two heads.
type Reader struct {
	*bufio.Reader
	in scanner
}

// NewReader returns a reader of r whose heads are bounded by l.
func NewReader(r io.Reader, l Limits) *Reader {
	h := &Reader{in: scanner{r: r, max: l, off: true}}
	h.Reader = bufio.NewReader(&h.in)
	return h
}

// ReadResponse reads the head of the next answer, interim answers included. Its
// memory is bounded whatever arrives. It blocks until the end of the head, of the
// bounds or of the connection.
func (h *Reader) ReadResponse(r *http.Request) (*http.Response, error) {
	early, err := h.Peek(h.Buffered())
	if err != nil {
		return nil, err
	}
	if err := h.in.begin(early); err != nil {
		return nil, err
	}
	resp, err := http.ReadResponse(h.Reader, r)
	over, ended := h.in.err, h.in.ended
	h.in.off = true
	switch {
	case over != nil:
		return nil, over
	case err != nil:
		return nil, err
	case !ended:
		return nil, errCut
	}
	return resp, nil
}

// scanner counts the bytes and lines of a head on their way to the parser, and ends
// the stream at the bounds.
type scanner struct {
	r   io.Reader
	max Limits
	// off is set outside of heads: all bytes pass.
	off bool
	// ended is set behind the empty line at the end of the head.
	ended bool
	// bytes and lines are those of the head so far; line is the length of the last one.
	bytes, lines, line int
	// cr is set when the last line so far is a carriage return only.
	cr  bool
	err error
}

// begin starts a head of which some bytes, and maybe later ones, are buffered.
func (s *scanner) begin(buffered []byte) error {
	*s = scanner{r: s.r, max: s.max}
	return s.scan(buffered)
}

// Read implements io.Reader.
func (s *scanner) Read(p []byte) (int, error) {
	if s.off {
		return s.r.Read(p)
	}
	if s.err != nil {
		return 0, s.err
	}
	if s.ended {
		// The parser would take what follows the head for a part of it.
		s.err = errors.New("head of the answer has no proper end")
		return 0, s.err
	}
	n, err := s.r.Read(p)
	if serr := s.scan(p[:n]); serr != nil {
		return 0, serr
	}
	return n, err
}

// scan takes the next bytes, up to the end of the head.
func (s *scanner) scan(b []byte) error {
	for len(b) > 0 && !s.ended {
		n := bytes.IndexByte(b, '\n') + 1
		full := n > 0
		if !full {
			n = len(b)
		}
		if s.line == 0 {
			s.cr = b[0] == '\r'
		}
		s.line += n
		s.bytes += n
		if full {
			s.ended = s.line == 1 || s.line == 2 && s.cr
			s.lines++
			s.line = 0
		}
		if s.bytes > s.max.Bytes || s.lines > s.max.Lines {
			s.err = ErrTooLarge
			return s.err
		}
		b = b[n:]
	}
	return nil
}
