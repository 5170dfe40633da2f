package httpserve

import (
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"

	"golang.org/x/net/http/httpguts"

	"github.com/celeryyard/celeryyard/core/account"
)

// refuse answers a request that is malformed or exceeds a limit. The connection is closed after it.
func (c *conn) refuse(e *account.LimitError) {
	text := statusLine(e.Status)
	var header http.Header
	if e.Limit != "" {
		text = e.Error()
		if c.s.OnRefusal != nil {
			header = c.s.OnRefusal(e)
		}
	}
	_ = c.nc.SetWriteDeadline(time.Now().Add(lingerTime))
	_, _ = c.nc.Write(account.AppendRefusal(nil, e, statusLine(e.Status), text, header))
}

// refusalOf returns the refusal of a request whose head could not be read; nil if the client is not there to read it. exhausted
// means that the head is longer than the limit.
func refusalOf(err error, exhausted bool) *account.LimitError {
	var limit *account.LimitError
	if errors.As(err, &limit) {
		return limit
	}
	if status := statusOf(err, exhausted); status != 0 {
		return &account.LimitError{Status: status}
	}
	return nil
}

// statusOf returns the status of the refusal of a request whose head could not be read; 0 if the
// client is not there to read it. exhausted means that the head is longer than the limit.
func statusOf(err error, exhausted bool) int {
	var ne net.Error
	var target *url.Error
	switch {
	case exhausted:
		return http.StatusRequestHeaderFieldsTooLarge
	case errors.As(err, &target):
		return http.StatusBadRequest // the request target is malformed; a url.Error is also a net.Error
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &ne):
		return 0
	case strings.Contains(err.Error(), "unsupported transfer encoding"):
		return http.StatusNotImplemented
	}
	return http.StatusBadRequest
}

// check returns the status of the refusal of a request that http.ReadRequest accepts and a server must
// not; 0 for a valid one.
func check(r *http.Request) int {
	if r.ProtoMajor != 1 {
		return http.StatusHTTPVersionNotSupported
	}
	if r.ProtoAtLeast(1, 1) && r.Host == "" && r.Method != http.MethodConnect || !httpguts.ValidHostHeader(r.Host) {
		return http.StatusBadRequest
	}
	if e := r.Header.Get("Expect"); e != "" && r.ProtoAtLeast(1, 1) && !strings.EqualFold(e, "100-continue") {
		return http.StatusExpectationFailed
	}
	for name, values := range r.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return http.StatusBadRequest
		}
		for _, v := range values {
			if !httpguts.ValidHeaderFieldValue(v) {
				return http.StatusBadRequest
			}
		}
	}
	return 0
}
