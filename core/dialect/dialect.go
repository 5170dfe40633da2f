// Package dialect separates what the data plane decides from the headers in
// which callers and upstreams express it. A platform with headers of its own
// provides a plug-in named "dialect" that implements Dialect.
package dialect

import (
	"net/http"
	"strconv"
	"time"

	"github.com/celeryyard/celeryyard/core/httpcall"
	"github.com/celeryyard/celeryyard/core/verdict"
)

// Name is the name of the plug-in that provides another dialect than Native.
const Name = "dialect"

// Call is what a caller states about its request.
type Call struct {
	// ID names the request in logs and answers; empty when the caller gives none.
	ID string
	// Timeout is how long the caller waits; 0 when it does not say.
	Timeout time.Duration
}

// Dispatch is what an upstream is told about a request.
type Dispatch struct {
	ID string
	// Remaining is the time left for the answer.
	Remaining time.Duration
	// Caller is the service beside whose node the request began; empty when unknown.
	Caller string
	// Upstream is the identity of the upstream that may run the request; empty when
	// the upstream has none.
	Upstream string
}

// Statement is what a response states, whichever request it belongs to.
type Statement int

// Statements of responses.
const (
	// StatesResult is the result of a request, whatever the status.
	StatesResult Statement = iota
	// StatesNotRun is that the upstream did not run the request and never will.
	StatesNotRun
	// StatesOtherUpstream is that another upstream has the address and ran nothing.
	StatesOtherUpstream
	// StatesNothing means that the response is no valid one of an upstream.
	StatesNothing
)

// Load is the load that an upstream reports of itself.
type Load struct{ Running, Waiting, Slots int }

// Answer is what an upstream's response says. KindOf decides what of it is believed.
type Answer struct {
	Statement Statement
	// Named means that the upstreams of the dialect name the request in each response.
	// ID is that name; empty when the response has none.
	Named bool
	ID    string
	// Promise means that callers take the status for the promise that the request did
	// not run and never will.
	Promise bool
	// Load is valid when HasLoad is set.
	Load    Load
	HasLoad bool
	// Idle is how long the upstream keeps the connection open; 0 when it does not say.
	Idle time.Duration
}

// Refusal is an answer of the system itself.
type Refusal struct {
	ID      string
	Status  int
	Verdict verdict.Verdict
	// RetryAfter is when a request that did not run may be sent again; 0 for at once.
	RetryAfter time.Duration
	Text       string
}

// Dialect translates between headers and the terms of the data plane. Its methods
// are safe for concurrent use and do no I/O.
type Dialect interface {
	// ReadCall reads what a caller states. The error names the bad header.
	ReadCall(h http.Header) (Call, error)
	// WriteCall sets the system's headers of a request to an upstream, whatever the
	// caller sent under their names.
	WriteCall(h http.Header, d Dispatch)
	// Shorten removes the headers of a caller's request that WriteCall sets again at the
	// node beside the upstream, so that they are not sent between nodes.
	Shorten(h http.Header)
	// ReadAnswer reads what a response says.
	ReadAnswer(r *http.Response) Answer
	// WriteRefusal sets the headers of an answer of the system itself.
	WriteRefusal(h http.Header, f Refusal)
}

// Native is the product's own dialect.
type Native struct{}

// headerRequestID is the header by which callers commonly name a request. It passes
// to the upstream like any other.
const headerRequestID = "X-Request-Id"

// maxRequestID bounds the names that are used; a longer one is not logged.
const maxRequestID = 128

// ReadCall implements Dialect.
func (Native) ReadCall(h http.Header) (Call, error) {
	c := Call{ID: h.Get(headerRequestID)}
	if len(c.ID) > maxRequestID {
		c.ID = ""
	}
	v := h.Get(httpcall.HeaderTimeout)
	if v == "" {
		return c, nil
	}
	var err error
	c.Timeout, err = httpcall.ParseTimeout(v)
	return c, err
}

// WriteCall implements Dialect.
func (Native) WriteCall(h http.Header, d Dispatch) {
	h[httpcall.HeaderTimeout] = []string{httpcall.FormatTimeout(d.Remaining)}
}

// Shorten implements Dialect: nodes do not forward the system's own headers anyway.
func (Native) Shorten(http.Header) {}

// ReadAnswer implements Dialect.
func (Native) ReadAnswer(*http.Response) Answer { return Answer{} }

// WriteRefusal implements Dialect.
func (Native) WriteRefusal(h http.Header, f Refusal) {
	if f.ID != "" {
		h[headerRequestID] = []string{f.ID}
	}
	h.Set(httpcall.HeaderVerdict, f.Verdict.String())
	if f.RetryAfter > 0 && f.Verdict == verdict.NotRun {
		h.Set("Retry-After", strconv.FormatInt(int64((f.RetryAfter+time.Second-1)/time.Second), 10))
	}
}
