package operator

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-json-experiment/json/jsontext"
	"github.com/labstack/echo/v4"

	"github.com/celeryyard/celeryyard/core/change"
	"github.com/celeryyard/celeryyard/core/resource"
	"github.com/celeryyard/celeryyard/core/verdict"
	"github.com/celeryyard/celeryyard/plugin/intake"
)

// maxRequestBytes is the maximum size of a request's body: the largest template or team, and 2048
// bytes for the other fields.
const maxRequestBytes = resource.MaxBodyBytes + 2048

// timeoutMargin is added to DecisionTimeout to get the timeout of a request, so that the log's more
// specific error arrives before the request times out.
const timeoutMargin = time.Second

// Reasons why this instance does not propose a change to the log.
var (
	errIsolated    = errors.New("the instance is isolated from the quorum")
	errRateLimited = errors.New("the organisation submits changes too fast")
)

// changeRequest is the body of POST /v1/changes.
type changeRequest struct {
	ID               string         `json:"id"`
	Kind             change.Kind    `json:"kind"`
	Action           change.Action  `json:"action"`
	Name             string         `json:"name"`
	ExpectedRevision uint64         `json:"expected_revision"`
	Body             jsontext.Value `json:"body"`
}

func (o *Operator) postChange(e echo.Context) error {
	body, release, err := o.intake.ReadBody(e.Response(), e.Request(), maxRequestBytes)
	if err != nil {
		return writeResponse(e, errorResponse(intake.StatusCode(err), err.Error()))
	}
	defer release()
	who := identityFromContext(e)
	var id atomic.Value // ID of the change, empty until it is decoded
	id.Store("")
	onTimeout := func() response {
		text := "no decision yet; send the same change again"
		return response{http.StatusAccepted, change.Outcome{ID: id.Load().(string), State: change.StateUndecided, Text: text}}
	}
	return o.serveJob(e, o.s.DecisionTimeout.AsDuration()+timeoutMargin, onTimeout, func(reply func(response)) {
		c, r := decodeChange(body, who)
		if r != nil {
			o.c.Log.Log(evRefused).Str("operator", who.Name).Str("change", c.ID).Str("reason", string(r.Reason)).Str("text", r.Text).Send()
			reply(refusalResponse(c, r))
			return
		}
		id.Store(c.ID)
		if o.isIsolated() {
			// Fail at once, so that the operators' command can try another instance without waiting for
			// DecisionTimeout.
			reply(o.outcomeResponse(c, change.Outcome{}, verdict.Wrap(verdict.NotRun, errIsolated)))
			return
		}
		if !o.limits[who.Organisation].changeLimiter.AllowN(o.c.Clock.Now(), 1) {
			reply(o.outcomeResponse(c, change.Outcome{}, verdict.Wrap(verdict.NotRun, errRateLimited)))
			return
		}
		o.catalog.Submit(c, o.s.DecisionTimeout.AsDuration(), func(out change.Outcome, err error) { reply(o.outcomeResponse(c, out, err)) })
	})
}

// decodeChange decodes a change and runs the checks that depend on the request alone. Only a change
// that fails one of these checks may be refused without consulting the log. Any other change may
// still be accepted, because an earlier attempt with the same ID may have reached the log.
func decodeChange(body []byte, who Identity) (*change.Change, *change.Refusal) {
	var q changeRequest
	if err := resource.DecodeWithLimit(body, maxRequestBytes, &q); err != nil {
		return &change.Change{}, &change.Refusal{Reason: change.ReasonMalformed, Text: err.Error()}
	}
	// Remove whitespace, so that a change that is sent again with different spacing counts as the same
	// change.
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

// refusalResponse returns the response to a change that is refused before it reaches the log. The
// response contains the change's ID only if the ID is valid.
func refusalResponse(c *change.Change, r *change.Refusal) response {
	out := change.Outcome{State: change.StateRefused, Reason: r.Reason, Text: r.Text}
	if change.CheckID(c.ID) == nil {
		out.ID = c.ID
	}
	return response{statusCode(out), out}
}

// outcomeResponse converts the result of submitting a change to a response. If err is not nil, out
// is ignored and the change is reported as undecided.
func (o *Operator) outcomeResponse(c *change.Change, out change.Outcome, err error) response {
	if err == nil {
		return response{statusCode(out), out}
	}
	if suppressed, ok := o.undecided.allow(c.ID, err.Error(), o.c.Clock.Now()); ok {
		o.c.Log.Log(evUndecided).Str("operator", c.Operator).Str("change", c.ID).Int("suppressed", suppressed).Err(err).Send()
	}
	out = change.Outcome{ID: c.ID, State: change.StateUndecided, Text: "the answer is not known; send the same change again"}
	if verdict.Of(err) == verdict.NotRun {
		// The status says that this attempt was not executed. The state stays undecided, because an
		// earlier attempt with this ID may still be decided.
		out.Text = "this attempt was not executed; send the same change again"
		return response{http.StatusServiceUnavailable, out}
	}
	return response{http.StatusAccepted, out}
}

func statusCode(out change.Outcome) int {
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
	id, who := e.Param("id"), identityFromContext(e)
	if err := change.CheckID(id); err != nil {
		return writeResponse(e, errorResponse(http.StatusBadRequest, err.Error()))
	}
	return o.serveRead(e, func(f freshness) response {
		if rec, ok := o.catalog.Record(id); ok && rec.Organisation == who.Organisation {
			return response{http.StatusOK, changeView{f, rec.Outcome}}
		}
		out := change.Outcome{ID: id, State: change.StateUndecided, Text: "no decision is known; send the change again under this ID"}
		return response{http.StatusNotFound, changeView{f, out}}
	})
}
