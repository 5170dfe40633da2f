// Package verdict classifies requests and changes by what is known about their execution.
package verdict

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// Verdict is what is known about the execution of a request.
type Verdict int

const (
	// MayHaveRun means that execution can be neither proved nor ruled out. It is the zero
	// value, so that an unclassified error is never mistaken for proof.
	MayHaveRun Verdict = iota
	// NotRun means that the request did not run and never will.
	NotRun
	// Ran means that the request ran and its response is known.
	Ran
)

var verdictNames = [...]string{MayHaveRun: "may-have-run", NotRun: "not-run", Ran: "ran"}

// String returns the name of the verdict in headers, logs and metrics.
func (v Verdict) String() string {
	if v < 0 || int(v) >= len(verdictNames) {
		return fmt.Sprintf("verdict(%d)", int(v))
	}
	return verdictNames[v]
}

// Parse returns the verdict with the name s, or an error if there is none.
func Parse(s string) (Verdict, error) {
	for v, n := range verdictNames {
		if n == s {
			return Verdict(v), nil
		}
	}
	return MayHaveRun, errors.Newf("verdict %q is unknown", s)
}

// Error is an error with the verdict on the request that failed with it.
type Error struct {
	Verdict Verdict
	// Err is the cause.
	Err error
}

// Error returns the text of the cause, followed by the verdict in parentheses.
func (e *Error) Error() string { return fmt.Sprintf("%v (%v)", e.Err, e.Verdict) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Wrap returns err with the verdict v, as an *Error; nil if err is nil.
func Wrap(v Verdict, err error) error {
	if err == nil {
		return nil
	}
	return &Error{Verdict: v, Err: err}
}

// Of returns the verdict of the outermost Error in err's chain. It returns Ran for a nil error
// and MayHaveRun for an error without a verdict.
func Of(err error) Verdict {
	if err == nil {
		return Ran
	}
	var e *Error
	if errors.As(err, &e) {
		return e.Verdict
	}
	return MayHaveRun
}
