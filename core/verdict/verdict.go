// Package verdict says of a failed request or change whether it may have run.
package verdict

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// Verdict is what is known about the execution of a request.
type Verdict int

const (
	// MayHaveRun means that execution can be neither proved nor excluded. It is
	// the zero value, so that an unclassified error is never taken for proof.
	MayHaveRun Verdict = iota
	// NotRun means that the request did not run and never will.
	NotRun
	// Ran means that the request ran and its answer is known.
	Ran
)

var names = [...]string{MayHaveRun: "may-have-run", NotRun: "not-run", Ran: "ran"}

// String returns the verdict as it stands in headers, logs and metrics.
func (v Verdict) String() string {
	if v < 0 || int(v) >= len(names) {
		return fmt.Sprintf("verdict(%d)", int(v))
	}
	return names[v]
}

// Parse returns the verdict named by s. It fails on any other text.
func Parse(s string) (Verdict, error) {
	for v, n := range names {
		if n == s {
			return Verdict(v), nil
		}
	}
	return MayHaveRun, errors.Newf("verdict %q is unknown", s)
}

// Error is an error together with its verdict.
type Error struct {
	Verdict Verdict
	Err     error
}

// Error returns the text of the cause followed by the verdict.
func (e *Error) Error() string { return fmt.Sprintf("%v (%v)", e.Err, e.Verdict) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Wrap attaches v to err. A nil err stays nil.
func Wrap(v Verdict, err error) error {
	if err == nil {
		return nil
	}
	return &Error{Verdict: v, Err: err}
}

// Of returns the verdict of the outermost Error in err's chain: Ran for a nil
// error and MayHaveRun for an error that carries none.
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
