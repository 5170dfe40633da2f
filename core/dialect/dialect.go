// Package dialect translates between the headers that callers and upstreams use and the types by
// which the data plane decides. A platform with its own headers provides a plug-in named "dialect"
// that implements Dialect; without one, Native is used.
package dialect

import (
	"net/http"
	"strconv"
	"time"

	"github.com/celeryyard/celeryyard/core/httpcall"
	"github.com/celeryyard/celeryyard/core/verdict"
)

// Name is the name under which a plug-in provides a dialect other than Native.
const Name = "dialect"

// Call holds what a caller states about its request.
type Call struct {
	// ID identifies the request in logs and responses; empty if the caller sends none.
	ID string
	// Timeout is how long the caller waits; 0 if it states no timeout.
	Timeout time.Duration
	// Keys holds the values of the header by which the caller marks repeats of one request, so that it runs at most
	// once. It is nil if the caller sends none, or if the dialect has no such header: one of that name is then
	// forwarded like any other.
	Keys []string
	// APIKey identifies the calling team; empty if the caller sends none. It must not be logged or forwarded.
	APIKey string
}

// Dispatch holds the information that is sent to an upstream with a request.
type Dispatch struct {
	// ID identifies the request; empty if the caller sent none.
	ID string
	// Remaining is the time left until the deadline of the request.
	Remaining time.Duration
	// Caller is the service that sent the request; empty if unknown.
	Caller string
	// Upstream is the identity of the only upstream that may run the request; empty if the
	// upstream has stated no identity.
	Upstream string
	// Team is the calling team; empty if there is none. A value that the caller sent is removed.
	Team string
}

// ExecutionStatus is what a response states about the execution of the request that it belongs to. That
// may be a request other than the one just dispatched; see AnswerForeign.
type ExecutionStatus int

// What a response can state about the execution of its request.
const (
	// ExecutionResult means that the response is the result of the request, with any status.
	ExecutionResult ExecutionStatus = iota
	// ExecutionNotRun means that the upstream did not run the request and never will.
	ExecutionNotRun
	// ExecutionOtherUpstream means that the upstream at the address is not the one in
	// Dispatch.Upstream and did not run the request.
	ExecutionOtherUpstream
	// ExecutionInvalid means that the response is not a valid response of an upstream and does not
	// show whether the request was executed.
	ExecutionInvalid
)

// Load is the load that an upstream reports: its numbers of running and of waiting requests, and its
// number of slots.
type Load struct {
	Running, Waiting, Slots int
	// SlowdownPercent is how long work takes on the machine of the upstream at the moment, relative to the usual time:
	// 100 is the usual time, 200 twice that; 0 if the upstream does not state it.
	SlowdownPercent int
}

// Answer holds what an upstream's response states. ClassifyAnswer decides whether to trust it.
type Answer struct {
	ExecutionStatus ExecutionStatus
	// RequiresID means that upstreams of the dialect send the ID of the request in each response, so
	// that a response without the ID is invalid.
	RequiresID bool
	// ID is the ID of the request in the response; empty if the response has none.
	ID string
	// StatusMeansNotRun means that callers of the dialect interpret the status of the response as a
	// guarantee that the request did not run and never will.
	StatusMeansNotRun bool
	// Load is valid when HasLoad is set.
	Load    Load
	HasLoad bool
	// IdleTimeout is how long the upstream keeps an idle connection open; 0 if the response does not
	// state it.
	IdleTimeout time.Duration
}

// ErrorResponse is an error response that a node creates itself, without a result of an upstream.
type ErrorResponse struct {
	// ID identifies the request; empty if the caller sent none.
	ID string
	// Status is the HTTP status.
	Status  int
	Verdict verdict.Verdict
	// RetryAfter is how long the caller should wait before it sends a request that did not run
	// again; 0 means no wait.
	RetryAfter time.Duration
	// Text describes the cause.
	Text string
}

// Dialect translates between headers and the types of the data plane. Its methods are safe for
// concurrent use and do no I/O.
type Dialect interface {
	// ReadCall parses the headers of a caller's request. The error names the invalid header.
	ReadCall(h http.Header) (Call, error)
	// WriteDispatch sets the headers of a request to an upstream. It overwrites headers of the same
	// names that the caller sent.
	WriteDispatch(h http.Header, d Dispatch)
	// StripHeaders removes from a caller's request those headers that WriteDispatch sets, so that they
	// are not sent between nodes. WriteDispatch sets them at the node of the upstream.
	StripHeaders(h http.Header)
	// ReadAnswer parses the headers of an upstream's response.
	ReadAnswer(r *http.Response) Answer
	// WriteErrorResponse sets the headers of an error response that the node creates itself.
	WriteErrorResponse(h http.Header, r ErrorResponse)
}

// Native is the product's own dialect.
type Native struct{}

// headerRequestID is the header in which callers commonly send a request ID. It is forwarded to
// the upstream like any other header.
const headerRequestID = "X-Request-Id"

// maxRequestIDBytes bounds the length of a request ID. A longer ID is ignored.
const maxRequestIDBytes = 128

// ReadCall implements Dialect.
func (Native) ReadCall(h http.Header) (Call, error) {
	c := Call{ID: h.Get(headerRequestID), Keys: h[httpcall.HeaderIdempotencyKey]}
	if len(c.ID) > maxRequestIDBytes {
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

// WriteDispatch implements Dialect.
func (Native) WriteDispatch(h http.Header, d Dispatch) {
	h[httpcall.HeaderTimeout] = []string{httpcall.FormatTimeout(d.Remaining)}
}

// StripHeaders implements Dialect. It removes nothing, since httpcall.ForwardHeaders already omits
// the product's own headers.
func (Native) StripHeaders(http.Header) {}

// ReadAnswer implements Dialect. Every response is the result of its request.
func (Native) ReadAnswer(*http.Response) Answer { return Answer{} }

// WriteErrorResponse implements Dialect.
func (Native) WriteErrorResponse(h http.Header, r ErrorResponse) {
	if r.ID != "" {
		h[headerRequestID] = []string{r.ID}
	}
	h.Set(httpcall.HeaderVerdict, r.Verdict.String())
	if r.RetryAfter > 0 && r.Verdict == verdict.NotRun {
		h.Set("Retry-After", strconv.FormatInt(int64((r.RetryAfter+time.Second-1)/time.Second), 10))
	}
}
