package httpcall

import (
	"fmt"

	"github.com/celeryyard/celeryyard/core/verdict"
)

// Kind tells how a dispatch failed.
type Kind int

// Kinds of failures.
const (
	// KindUnreachable means that no connection could be made.
	KindUnreachable Kind = iota
	// KindUnsent means that no byte of the call met the connection.
	KindUnsent
	// KindRejected means that the other node proved that it did not run the call.
	KindRejected
	// KindCut means that the connection broke or the answer was malformed.
	KindCut
	// KindTimeout means that the deadline passed.
	KindTimeout
	// KindCancelled means that the caller gave up.
	KindCancelled
	// KindSource means that reading the caller's request body failed.
	KindSource
)

var kindNames = [...]string{"unreachable", "unsent", "rejected", "cut", "timeout", "cancelled", "request-body"}

// String returns the kind as it stands in metrics.
func (k Kind) String() string { return kindNames[k] }

// Failure is a dispatch without an answer. It carries its verdict.
type Failure struct {
	Kind Kind
	// Reason is the reason of a rejection.
	Reason string
	// Load is what the rejecting node reported of its upstream; HasLoad tells that it did.
	Load    float64
	HasLoad bool
	Err     *verdict.Error
}

// Error implements error.
func (f *Failure) Error() string {
	if f.Reason != "" {
		return fmt.Sprintf("%v: %s: %v", f.Kind, f.Reason, f.Err)
	}
	return fmt.Sprintf("%v: %v", f.Kind, f.Err)
}

// Unwrap gives verdict.Of the verdict.
func (f *Failure) Unwrap() error { return f.Err }

// Verdict returns the verdict of the dispatch.
func (f *Failure) Verdict() verdict.Verdict { return f.Err.Verdict }

// NewFailure returns a failure with its verdict.
func NewFailure(k Kind, v verdict.Verdict, err error) *Failure {
	return &Failure{Kind: k, Err: &verdict.Error{Verdict: v, Err: err}}
}

// Text describes the failure without its verdict, for the body of an answer.
func Text(f *Failure) string {
	if f.Reason != "" {
		return fmt.Sprintf("%v: %s", f.Kind, f.Reason)
	}
	return fmt.Sprintf("%v: %v", f.Kind, f.Err.Err)
}
