package httpcall

import (
	"fmt"

	"github.com/celeryyard/celeryyard/core/verdict"
)

// Kind is the kind of failure of a dispatch.
type Kind int

// Kinds of failures.
const (
	// KindUnreachable means that no connection could be made.
	KindUnreachable Kind = iota
	// KindUnsent means that no byte of the call was written to the connection.
	KindUnsent
	// KindRejected means that the other node proved that it did not run the call.
	KindRejected
	// KindCut means that the connection broke or the answer was malformed.
	KindCut
	// KindTimeout means that the deadline passed.
	KindTimeout
	// KindCancelled means that the caller cancelled the call.
	KindCancelled
	// KindRequestBody means that the caller's request body was broken off or malformed.
	KindRequestBody
	// KindSlowBody means that the caller's request body did not arrive before the deadline.
	KindSlowBody
)

var kindNames = [...]string{"unreachable", "unsent", "rejected", "cut", "timeout", "cancelled", "request-body", "slow-body"}

// String returns the name of the kind in logs and error responses.
func (k Kind) String() string { return kindNames[k] }

// Failure is the error of a dispatch without a usable answer.
type Failure struct {
	Kind Kind
	// Reason is the reason for a rejection; empty for other kinds.
	Reason string
	// Load is the load of the upstream, as reported by the node that rejected the call. It is valid if
	// HasLoad is set.
	Load    float64
	HasLoad bool
	// Work is what that node states about the work of the upstream. It is valid if HasWork is set.
	Work    NodeWork
	HasWork bool
	// Err is the cause with the verdict of the dispatch.
	Err *verdict.Error
}

// Error implements error.
func (f *Failure) Error() string {
	if f.Reason != "" {
		return fmt.Sprintf("%v: %s: %v", f.Kind, f.Reason, f.Err)
	}
	return fmt.Sprintf("%v: %v", f.Kind, f.Err)
}

// Unwrap returns Err, from which verdict.Of reads the verdict.
func (f *Failure) Unwrap() error { return f.Err }

// Verdict returns whether the call may have run.
func (f *Failure) Verdict() verdict.Verdict { return f.Err.Verdict }

// NewFailure returns a failure of the given kind that wraps the cause err and states by v whether the
// call may have run. For KindRejected, the caller also sets Reason.
func NewFailure(k Kind, v verdict.Verdict, err error) *Failure {
	return &Failure{Kind: k, Err: &verdict.Error{Verdict: v, Err: err}}
}

// Describe returns the text of the failure for the body of an error response, which states the
// verdict separately. It gives the reason of a rejection instead of the cause.
func Describe(f *Failure) string {
	if f.Reason != "" {
		return fmt.Sprintf("%v: %s", f.Kind, f.Reason)
	}
	return fmt.Sprintf("%v: %v", f.Kind, f.Err.Err)
}
