// Package account defines how servers account for the memory that their connections hold. The plug-in pressure implements it.
// The account counts what a message costs in memory, not its length: a header line of 5 bytes occupies more than 100.
package account

import (
	"fmt"
	"net/http"
	"time"
)

// Phase is what a connection does. It decides whether the connection may be closed when memory is short.
type Phase int32

// Phases of a connection, in the order in which connections are closed.
const (
	// PhaseFresh is the phase of a connection on which nothing was received yet.
	PhaseFresh Phase = iota
	// PhaseHead is the phase in which the head of a request is received. Nothing of the request has run.
	PhaseHead
	// PhaseBody is the phase in which the part of a body is received that is read before the request runs.
	PhaseBody
	// PhaseIdle is the phase between two requests.
	PhaseIdle
	// PhaseRunning is the phase in which a request may run. Such a connection is not closed for lack of memory.
	PhaseRunning
)

// Kind is what memory is held for. It decides how much of the memory of the process may be in use when more is granted.
type Kind int32

// Kinds of memory.
const (
	// KindHead is the parsed head of a request and what is needed to serve it.
	KindHead Kind = iota
	// KindRaw is the received part of a head that is not complete.
	KindRaw
	// KindBody is a body that is kept.
	KindBody
	// KindResponse is a response that waits until it is read.
	KindResponse
	// KindConnection is an open connection.
	KindConnection
)

// Connection is the account of one connection. Its methods are safe for concurrent use and do not block on I/O.
type Connection interface {
	// Reserve accounts for n bytes. The error is a *LimitError if they are not granted.
	Reserve(k Kind, n int64) error
	// Release ends the accounting for n bytes.
	Release(n int64)
	// SetPhase records what the connection does from now on. It returns false if the connection has been closed for lack of
	// memory: no request may run on it from then on.
	SetPhase(p Phase) bool
	// Close ends the account. All bytes that are still held are released.
	Close()
}

// LimitError means that a client has exceeded a limit or that the process has no memory for it.
type LimitError struct {
	// Limit is the name of the limit, which is that of a setting.
	Limit string
	// Max is its value.
	Max int64
	// Status is the status of the response: 431 or 400 if the request exceeds a limit of its own, 503 if the process has no
	// memory for it and it has not run.
	Status int
	// RetryAfter is the time after which the client should send the request again; 0 if it should not.
	RetryAfter time.Duration
}

// Error implements error.
func (e *LimitError) Error() string {
	if e.Status == http.StatusServiceUnavailable {
		return fmt.Sprintf("the process has no memory for the request: limit %s of %d", e.Limit, e.Max)
	}
	return fmt.Sprintf("the request exceeds the limit %s of %d", e.Limit, e.Max)
}

// AppendRefusal appends the response to a request that was refused, after which the connection is closed. line is its status
// line without the version, and header may be nil.
func AppendRefusal(b []byte, e *LimitError, line, text string, header http.Header) []byte {
	b = append(append(append(b, "HTTP/1.1 "...), line...), "\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n"...)
	if e.RetryAfter > 0 && header == nil {
		b = fmt.Appendf(b, "Retry-After: %d\r\n", int64((e.RetryAfter+time.Second-1)/time.Second))
	}
	for name, values := range header {
		for _, v := range values {
			b = append(append(append(append(b, name...), ": "...), v...), "\r\n"...)
		}
	}
	b = fmt.Appendf(b, "Content-Length: %d\r\n\r\n", len(text)+1)
	return append(append(b, text...), '\n')
}

// Unlimited is an account that grants everything.
type Unlimited struct{}

// Reserve implements Connection.
func (Unlimited) Reserve(Kind, int64) error { return nil }

// Release implements Connection.
func (Unlimited) Release(int64) {}

// SetPhase implements Connection.
func (Unlimited) SetPhase(Phase) bool { return true }

// Close implements Connection.
func (Unlimited) Close() {}
