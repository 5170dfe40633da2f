package main

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net"
	"net/http"

	"github.com/cockroachdb/errors"
	"github.com/go-json-experiment/json"

	"github.com/celeryyard/celeryyard/core/change"
	"github.com/celeryyard/celeryyard/kernel"
)

// newID returns a change ID of 128 random bits.
func newID() (string, error) {
	b := make([]byte, 16)
	if _, err := rand.Read(b); err != nil {
		return "", errors.Wrap(err, "generate a change ID")
	}
	return hex.EncodeToString(b), nil
}

// submission is the state of a change that is submitted in several attempts.
type submission struct {
	// mayHaveRun means that the change may have been executed by at least one attempt.
	mayHaveRun bool
	lastErr    error
}

// submit sends a change until it is decided or ctx ends. All attempts have the same ID and body, so
// that at most one takes effect.
func (c *client) submit(ctx context.Context, req *change.Change) (*change.Outcome, error) {
	body, err := json.Marshal(req)
	if err != nil {
		return nil, err
	}
	var s submission
	for attempt := 0; ; attempt++ {
		r, err := c.send(ctx, http.MethodPost, "/v1/changes", body)
		out, done := s.evaluate(r, err)
		if done {
			return out, s.finalError(req.ID, out)
		}
		if !c.waitForNextAttempt(ctx, attempt) {
			return nil, s.undecidedError(req.ID)
		}
	}
}

// evaluate processes the result of one attempt. If done is true, no further attempt is needed, and
// out is the decision, or nil if every server would reject the request.
func (s *submission) evaluate(r *response, err error) (out *change.Outcome, done bool) {
	if err != nil {
		s.lastErr = err
		var op *net.OpError
		if !errors.As(err, &op) || op.Op != "dial" {
			s.mayHaveRun = true
		}
		return nil, false
	}
	out = &change.Outcome{}
	if json.Unmarshal(r.body, out) == nil && (out.State == change.StateAccepted || out.State == change.StateRefused) {
		return out, true
	}
	s.lastErr = r.toError()
	switch {
	case r.code == http.StatusUnauthorized || r.code == http.StatusRequestEntityTooLarge || r.code == http.StatusNotFound:
		return nil, true // this attempt did not execute the change, and a further one would fail in the same way
	case r.code != http.StatusServiceUnavailable:
		s.mayHaveRun = true
	}
	return nil, false
}

// finalError returns the error of a submission that needs no further attempt, or nil if the change
// was decided.
func (s *submission) finalError(id string, out *change.Outcome) error {
	if out != nil {
		return nil
	}
	if s.mayHaveRun {
		return s.undecidedError(id)
	}
	return newExitErrorf(kernel.ExitFailure, "the change was not executed: %v", s.lastErr)
}

// undecidedError returns the error of a submission that ended without a decision.
func (s *submission) undecidedError(id string) error {
	if !s.mayHaveRun {
		return newExitErrorf(kernel.ExitFailure, "the change was not executed: %v", s.lastErr)
	}
	return newExitErrorf(kernel.ExitOutcomeUnknown, "change %s is undecided: %v; run the same command with --id %s", id, s.lastErr, id)
}
