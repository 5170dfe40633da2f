package operator

import (
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-json-experiment/json"
	"github.com/labstack/echo/v4"

	"github.com/celeryyard/celeryyard/plugin/rollouts"
)

// maxRolloutBytes bounds the body of POST /v1/rollouts.
const maxRolloutBytes = 16 << 10

// rolloutRequest is the body of POST /v1/rollouts.
type rolloutRequest struct {
	Service string `json:"service"`
	Target  string `json:"target_version"`
	// Period is the time within which the roll-out must end, such as "10m".
	Period string `json:"period"`
}

// rolloutView shows the last roll-out of a service.
type rolloutView struct {
	freshness
	Service string `json:"service"`
	Target  string `json:"target_version"`
	State   string `json:"state"`
	// Phase is the stage within the state: 1 and 2 are the canary phases, 3 and 4 the ramp, 5 waits for the end of requests at
	// old endpoints.
	Phase int `json:"phase"`
	// Permitted is the number of requests that the new version was permitted at most before it was found good.
	Permitted uint64 `json:"permitted_requests"`
	Reason    string `json:"reason,omitempty"`
}

// ownsService reports whether a cluster of the operator's organisation uses the service.
func (o *Operator) ownsService(who Identity, service string) bool {
	d := o.catalog.Delta(0, map[string]bool{service: true})
	for i := range d.Upserts {
		if c := d.Upserts[i].Cluster; c != nil && c.Service == service && c.Organisation == who.Organisation {
			return true
		}
	}
	return false
}

func (o *Operator) postRollout(e echo.Context) error {
	body, err := io.ReadAll(http.MaxBytesReader(e.Response(), e.Request().Body, maxRolloutBytes))
	if err != nil {
		return writeResponse(e, errorResponse(http.StatusBadRequest, err.Error()))
	}
	var q rolloutRequest
	if err := json.Unmarshal(body, &q, json.RejectUnknownMembers(true)); err != nil {
		return writeResponse(e, errorResponse(http.StatusBadRequest, err.Error()))
	}
	period, err := time.ParseDuration(q.Period)
	if err != nil {
		return writeResponse(e, errorResponse(http.StatusBadRequest, "period is not a duration such as 10m"))
	}
	who := identityFromContext(e)
	onTimeout := func() response {
		return errorResponse(http.StatusServiceUnavailable, "no decision yet; send the same order again")
	}
	return o.serveJob(e, o.s.DecisionTimeout.AsDuration()+timeoutMargin, onTimeout, func(reply func(response)) {
		if !o.ownsService(who, q.Service) {
			reply(errorResponse(http.StatusUnprocessableEntity, "no cluster of the organisation uses the service"))
			return
		}
		order := rollouts.Order{Service: q.Service, Target: q.Target, Period: period}
		o.rollouts.StartRollout(order, o.s.DecisionTimeout.AsDuration(), func(err error) {
			if err != nil {
				reply(errorResponse(rolloutErrorCode(err), err.Error()))
				return
			}
			reply(o.rolloutResponse(q.Service, o.newFreshness(false)))
		})
	})
}

func rolloutErrorCode(err error) int {
	switch {
	case errors.Is(err, rollouts.ErrInvalid):
		return http.StatusBadRequest
	case errors.Is(err, rollouts.ErrInProgress):
		return http.StatusConflict
	case errors.Is(err, rollouts.ErrUnknownService):
		return http.StatusUnprocessableEntity
	}
	return http.StatusServiceUnavailable
}

func (o *Operator) getRollout(e echo.Context) error {
	who, service := identityFromContext(e), e.Param("service")
	return o.serveRead(e, func(f freshness) response {
		if !o.ownsService(who, service) {
			return errorResponse(http.StatusNotFound, "the service has no roll-out")
		}
		return o.rolloutResponse(service, f)
	})
}

func (o *Operator) rolloutResponse(service string, f freshness) response {
	r, ok := o.rollouts.Status(service)
	if !ok {
		return errorResponse(http.StatusNotFound, "the service has no roll-out")
	}
	return response{http.StatusOK, rolloutView{
		freshness: f, Service: service, Target: r.Target, State: r.State(), Phase: int(r.Phase), Permitted: r.Reserved, Reason: r.Reason,
	}}
}
