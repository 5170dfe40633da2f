package operator

import (
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-json-experiment/json/jsontext"
	"github.com/labstack/echo/v4"

	"github.com/celeryyard/celeryyard/core/change"
	"github.com/celeryyard/celeryyard/core/resource"
	"github.com/celeryyard/celeryyard/core/verdict"
)

// maxRequestBytes bounds the body of a request: a template or team and the
// fields around it.
const maxRequestBytes = resource.MaxBodyBytes + 2048

// answerGrace lets the log's own answer, which knows more, come before the bound
// of the wait.
const answerGrace = time.Second

// Causes for which a change does not reach the log at this instance.
var (
	errIsolated = errors.New("the instance is isolated from the quorum")
	errTooMany  = errors.New("the organisation submits changes too fast")
)

// request is the body of POST /v1/changes.
type request struct {
	ID               string         `json:"id"`
	Kind             change.Kind    `json:"kind"`
	Action           change.Action  `json:"action"`
	Name             string         `json:"name"`
	ExpectedRevision uint64         `json:"expected_revision"`
	Body             jsontext.Value `json:"body"`
}

func (o *Operator) postChange(e echo.Context) error {
	body, err := io.ReadAll(http.MaxBytesReader(e.Response(), e.Request().Body, maxRequestBytes))
	if err != nil {
		return write(e, fail(http.StatusRequestEntityTooLarge, "the body is above the limit or was not received"))
	}
	who := identity(e)
	var id atomic.Value // the ID of the change once it is decoded
	id.Store("")
	late := func() answer {
		text := "no decision yet; send the same change again"
		return answer{http.StatusAccepted, change.Outcome{ID: id.Load().(string), State: change.StateUndecided, Text: text}}
	}
	return o.await(e, o.s.DecisionTimeout.D()+answerGrace, late, func(reply func(answer)) {
		c, r := decodeChange(body, who)
		if r != nil {
			o.c.Log.Log(evRefused).Str("operator", who.Name).Str("change", c.ID).Str("reason", string(r.Reason)).Str("text", r.Text).Send()
			reply(refusedBefore(c, r))
			return
		}
		id.Store(c.ID)
		if o.isolated() {
			// The command tries another instance at once instead of after the timeout.
			reply(o.decided(c, change.Outcome{}, verdict.Wrap(verdict.NotRun, errIsolated)))
			return
		}
		if !o.shares[who.Organisation].changes.AllowN(o.c.Clock.Now(), 1) {
			reply(o.decided(c, change.Outcome{}, verdict.Wrap(verdict.NotRun, errTooMany)))
			return
		}
		o.catalog.Submit(c, o.s.DecisionTimeout.D(), func(out change.Outcome, err error) { reply(o.decided(c, out, err)) })
	})
}

// decodeChange makes the checks that depend on nothing but the request. Only a
// change that fails them may be refused without the log, because an earlier
// attempt with the same ID may still be decided otherwise.
func decodeChange(body []byte, who Identity) (*change.Change, *change.Refusal) {
	var q request
	if err := resource.DecodeLimit(body, maxRequestBytes, &q); err != nil {
		return &change.Change{}, &change.Refusal{Reason: change.ReasonMalformed, Text: err.Error()}
	}
	// Spaces in the body make no other change of a resend.
	if len(q.Body) > 0 && q.Body.Compact() != nil {
		return &change.Change{}, &change.Refusal{Reason: change.ReasonMalformed, Text: "body: not valid JSON"}
	}
	c := &change.Change{
		ID: q.ID, Operator: who.Name, Organisation: who.Organisation, Roles: who.Roles,
		Kind: q.Kind, Action: q.Action, Name: q.Name, ExpectedRevision: q.ExpectedRevision, Body: q.Body,
	}
	_, r := c.Decode()
	return c, r
}

// refusedBefore answers a change that never reaches the log. Its ID is repeated
// only when it is one.
func refusedBefore(c *change.Change, r *change.Refusal) answer {
	out := change.Outcome{State: change.StateRefused, Reason: r.Reason, Text: r.Text}
	if change.CheckID(c.ID) == nil {
		out.ID = c.ID
	}
	return answer{statusOf(out), out}
}

func (o *Operator) decided(c *change.Change, out change.Outcome, err error) answer {
	if err == nil {
		return answer{statusOf(out), out}
	}
	o.c.Log.Log(evUndecided).Str("operator", c.Operator).Str("change", c.ID).Err(err).Send()
	out = change.Outcome{ID: c.ID, State: change.StateUndecided, Text: "the answer is not known; send the same change again"}
	if verdict.Of(err) == verdict.NotRun {
		// An earlier attempt with this ID may still be decided.
		out.Text = "this attempt was not executed; send the same change again"
		return answer{http.StatusServiceUnavailable, out}
	}
	return answer{http.StatusAccepted, out}
}

func statusOf(out change.Outcome) int {
	switch {
	case out.State == change.StateAccepted:
		return http.StatusOK
	case out.Reason == change.ReasonMalformed:
		return http.StatusBadRequest
	case out.Reason == change.ReasonForbidden:
		return http.StatusForbidden
	}
	return http.StatusConflict
}

// changeView is the body of GET /v1/changes/:id.
type changeView struct {
	freshness
	change.Outcome
}

func (o *Operator) getChange(e echo.Context) error {
	id, who := e.Param("id"), identity(e)
	if err := change.CheckID(id); err != nil {
		return write(e, fail(http.StatusBadRequest, err.Error()))
	}
	return o.read(e, func(f freshness) answer {
		if rec, ok := o.catalog.Record(id); ok && rec.Organisation == who.Organisation {
			return answer{http.StatusOK, changeView{f, rec.Outcome}}
		}
		out := change.Outcome{ID: id, State: change.StateUndecided, Text: "no decision is known; send the change again under this ID"}
		return answer{http.StatusNotFound, changeView{f, out}}
	})
}
