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
		return "", errors.Wrap(err, "random change ID")
	}
	return hex.EncodeToString(b), nil
}

// attempts is the course of a submission.
type attempts struct {
	// unclear tells that some attempt may have been executed.
	unclear bool
	last    error
}

// submit sends a change until it is decided or ctx ends. Each attempt carries
// the same ID and body, so that at most one takes effect.
func (c *client) submit(ctx context.Context, q *change.Change) (*change.Outcome, error) {
	body, err := json.Marshal(q)
	if err != nil {
		return nil, err
	}
	var state attempts
	for attempt := 0; ; attempt++ {
		r, err := c.send(ctx, http.MethodPost, "/v1/changes", body)
		out, done := state.judge(r, err)
		if done {
			return out, state.fatal(q.ID, out)
		}
		if !c.next(ctx, attempt) {
			return nil, state.timedOut(q.ID)
		}
	}
}

// judge looks at the result of one attempt. done tells that no other one is
// needed; out is then the decision, or nil when no server will take the change.
func (a *attempts) judge(r *response, err error) (out *change.Outcome, done bool) {
	if err != nil {
		a.last = err
		var op *net.OpError
		if !errors.As(err, &op) || op.Op != "dial" {
			a.unclear = true
		}
		return nil, false
	}
	out = &change.Outcome{}
	if json.Unmarshal(r.body, out) == nil && (out.State == change.StateAccepted || out.State == change.StateRefused) {
		return out, true
	}
	a.last = r.failure()
	switch {
	case r.code == http.StatusUnauthorized || r.code == http.StatusRequestEntityTooLarge || r.code == http.StatusNotFound:
		return nil, true // this attempt was not executed and the next would fare the same
	case r.code != http.StatusServiceUnavailable:
		a.unclear = true
	}
	return nil, false
}

func (a *attempts) fatal(id string, out *change.Outcome) error {
	if out != nil {
		return nil
	}
	if a.unclear {
		return a.timedOut(id)
	}
	return exitf(kernel.ExitFailure, "the change was not executed: %v", a.last)
}

func (a *attempts) timedOut(id string) error {
	if !a.unclear {
		return exitf(kernel.ExitFailure, "the change was not executed: %v", a.last)
	}
	return exitf(kernel.ExitUndecided, "change %s is undecided: %v; run the same command with --id %s", id, a.last, id)
}
