// Package httphead limits the heads of HTTP messages that the process receives. The head
// of a message is its start line and its header fields. A server of net/http limits the heads
// of requests only by bytes, by default to 1 MB, and http.ReadResponse does not limit the
// heads of responses at all.
package httphead

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/http/httpguts"
)

const (
	// MaxBytes is the maximum size of the head of a message from callers, upstreams and
	// operators. The configurations of the users limit callers to half as many bytes. Thus a
	// configuration can raise that limit without valid requests failing here. A server of
	// net/http accepts 4 KiB more than the limit that it is given.
	MaxBytes = 32 << 10
	// MaxNodeBytes is the maximum size of the head of a message between nodes. It exceeds
	// MaxBytes by the 4 KiB that a server accepts above its limit and by the header fields that
	// nodes add, the longest of which has 1 KiB.
	MaxNodeBytes = MaxBytes + 8<<10
	// MaxLines is the maximum number of lines in the head of a response. A limit on bytes
	// alone does not limit memory enough: a parsed field of 5 bytes occupies 117 bytes, and a
	// head of 20 KB with 4,001 such fields occupies 471 KB.
	MaxLines = 256
	// MaxNodeLines is MaxLines for messages between nodes, which add fewer than 16 fields.
	MaxNodeLines = MaxLines + 16
)

// Limits are the maximum numbers of bytes and lines in the head of a response.
type Limits struct{ Bytes, Lines int }

var (
	// ExternalLimits are the limits for responses from other programs, such as upstreams.
	ExternalLimits = Limits{Bytes: MaxBytes, Lines: MaxLines}
	// NodeLimits are the limits for responses from nodes.
	NodeLimits = Limits{Bytes: MaxNodeBytes, Lines: MaxNodeLines}
)

// Errors of ReadResponse. The connection must not be used after an error.
var (
	ErrTooLarge  = errors.New("response head is too large")
	errTruncated = errors.New("response head is truncated")
	// errInterimBody means that an interim response states a body. It can have none, so what follows its head could be read
	// as the head of the next response.
	errInterimBody = errors.New("interim response states a body")
	// errTwoFramings means that a response has a Content-Length and a Transfer-Encoding. Which of them is believed decides where
	// its body ends (RFC 9112, section 6.3).
	errTwoFramings = errors.New("response has both a length and a transfer coding")
)

// Reader reads HTTP responses from a connection. Bodies are read through the embedded
// buffer, which the caller may also use between two heads.
type Reader struct {
	*bufio.Reader
	scanner headScanner
}

// NewReader returns a Reader that reads from r. Heads that exceed limits fail with ErrTooLarge.
func NewReader(r io.Reader, limits Limits) *Reader {
	h := &Reader{scanner: headScanner{r: r, max: limits, passThrough: true}}
	h.Reader = bufio.NewReader(&h.scanner)
	return h
}

// ReadResponse reads the head of the next response, which may be an interim (1xx)
// response. Its memory is limited whatever the peer sends. It blocks until the head is
// complete, exceeds its limits, or the connection ends. A head of another version than HTTP/1.0 or 1.1, with a status
// outside 100 to 599 (RFC 9110, section 15), an invalid field name or two framings, or an interim one that states a
// body, is an error.
func (h *Reader) ReadResponse(req *http.Request) (*http.Response, error) {
	buffered, err := h.Peek(h.Buffered())
	if err != nil {
		return nil, err
	}
	if err := h.scanner.begin(buffered); err != nil {
		return nil, err
	}
	resp, err := http.ReadResponse(h.Reader, req)
	limitErr, complete, twoFramings := h.scanner.err, h.scanner.complete, h.scanner.hasLength && h.scanner.hasCoding
	h.scanner.passThrough = true
	switch {
	case limitErr != nil:
		return nil, limitErr
	case err != nil:
		return nil, err
	case !complete:
		return nil, errTruncated
	case twoFramings:
		return nil, errTwoFramings
	}
	if err := checkHead(resp); err != nil {
		return nil, err
	}
	return resp, nil
}

// checkHead returns an error if the response has an invalid version, status or field name, or is an interim one that states a
// body.
func checkHead(resp *http.Response) error {
	if resp.ProtoMajor != 1 || resp.ProtoMinor > 1 {
		return errors.Newf("version %.12q of a response is not HTTP/1.0 or HTTP/1.1", resp.Proto)
	}
	for name := range resp.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return errors.Newf("response has the invalid field name %.40q", name)
		}
	}
	code := resp.Status
	if i := strings.IndexByte(code, ' '); i >= 0 {
		code = code[:i]
	}
	if resp.StatusCode < 100 || resp.StatusCode > 599 || len(code) != 3 || code[0] < '1' || code[0] > '5' {
		return errors.Newf("status %.12q of a response is not in the range 100 to 599", code)
	}
	if resp.StatusCode < 200 && (len(resp.TransferEncoding) > 0 || resp.Header.Get("Transfer-Encoding") != "" || statesLength(resp.Header)) {
		return errInterimBody
	}
	return nil
}

// statesLength reports whether the header has a length other than 0.
func statesLength(h http.Header) bool {
	for _, v := range h["Content-Length"] {
		if strings.Trim(v, " \t0") != "" {
			return true
		}
	}
	return false
}

// headScanner counts the bytes and lines of a head while the parser reads them. A read that
// exceeds a limit fails.
type headScanner struct {
	r   io.Reader
	max Limits
	// passThrough is set while no head is read; bytes are not counted then.
	passThrough bool
	// complete is set after the empty line at the end of the head.
	complete bool
	// bytes and lines count the bytes and the complete lines of the head so far. lineLen is the
	// number of bytes of the current line so far.
	bytes, lines, lineLen int
	// startsWithCR is set if the current line starts with a carriage return.
	startsWithCR bool
	// name holds the first bytes of the current line, in lower case, which tell the fields that frame a body.
	name [len("transfer-encoding:")]byte
	// hasLength and hasCoding are set if the head has a field Content-Length or Transfer-Encoding.
	hasLength, hasCoding bool
	err                  error
}

// lineStartsWith reports whether the current line starts with a prefix, which has lower case letters only.
func (s *headScanner) lineStartsWith(prefix string) bool {
	return s.lineLen >= len(prefix) && string(s.name[:len(prefix)]) == prefix
}

// lower returns the lower case of an ASCII letter, and any other byte as it is.
func lower(c byte) byte {
	if 'A' <= c && c <= 'Z' {
		c += 'a' - 'A'
	}
	return c
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
	if scanErr := s.scan(p[:n]); scanErr != nil {
		return 0, scanErr
	}
	return n, err
}

// scan counts the bytes of b that belong to the head.
func (s *headScanner) scan(b []byte) error {
	for len(b) > 0 && !s.complete {
		n := bytes.IndexByte(b, '\n') + 1
		endsLine := n > 0
		if !endsLine {
			n = len(b)
		}
		if s.lineLen == 0 {
			s.startsWithCR = b[0] == '\r'
		}
		for i := s.lineLen; i < len(s.name) && i-s.lineLen < n; i++ {
			s.name[i] = lower(b[i-s.lineLen])
		}
		s.lineLen += n
		s.bytes += n
		if endsLine {
			s.hasLength = s.hasLength || s.lineStartsWith("content-length:")
			s.hasCoding = s.hasCoding || s.lineStartsWith("transfer-encoding:")
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
