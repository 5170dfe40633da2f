package operator

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-json-experiment/json"
	"github.com/labstack/echo/v4"
	"golang.org/x/time/rate"

	"github.com/celeryyard/celeryyard/kernel/pool"
)

// identityKey is the key under which echo's context holds the Identity.
const identityKey = "identity"

// response is the status code and the body of an HTTP response.
type response struct {
	code int
	body any
}

// errorBody is the body of an error response.
type errorBody struct {
	Error string `json:"error"`
}

func errorResponse(code int, text string) response { return response{code, errorBody{text}} }

// authenticate is middleware that rejects requests without a known bearer token.
func (o *Operator) authenticate(next echo.HandlerFunc) echo.HandlerFunc {
	return func(e echo.Context) error {
		o.requests.Inc()
		scheme, token, _ := strings.Cut(e.Request().Header.Get(echo.HeaderAuthorization), " ")
		who, ok := o.tokens.find(token)
		if !ok || !strings.EqualFold(scheme, "Bearer") {
			o.badTokens.Inc()
			o.c.Log.Log(evInvalidToken).Str("remote", e.Request().RemoteAddr).Send()
			e.Response().Header().Set(echo.HeaderWWWAuthenticate, "Bearer")
			return writeResponse(e, errorResponse(http.StatusUnauthorized, "a valid bearer token is required"))
		}
		e.Set(identityKey, who)
		return next(e)
	}
}

func identityFromContext(e echo.Context) Identity { return e.Get(identityKey).(Identity) }

// organisationLimits bounds the resources that one organisation uses on this instance, so that it
// cannot slow down the requests of the others.
type organisationLimits struct {
	// waitSlots is a semaphore: it holds one element for each request that waits for a response.
	waitSlots chan struct{}
	// changeLimiter limits the rate of changes proposed to the log.
	changeLimiter *rate.Limiter
}

func newOrganisationLimits(s *Settings) *organisationLimits {
	return &organisationLimits{waitSlots: make(chan struct{}, s.MaxWaiting), changeLimiter: rate.NewLimiter(rate.Limit(s.ChangeRate), s.ChangeBurst)}
}

// serveJob calls run in a pool job, waits until that job or a later one calls reply, and writes the
// response passed to reply. If reply is not called within timeout, it writes the result of
// onTimeout.
func (o *Operator) serveJob(e echo.Context, timeout time.Duration, onTimeout func() response, run func(reply func(response))) error {
	slots := o.limits[identityFromContext(e).Organisation].waitSlots
	select {
	case slots <- struct{}{}:
		defer func() { <-slots }()
	default:
		return writeUnavailable(e, "too many requests of the organisation are waiting")
	}
	ctx, cancel := context.WithTimeout(e.Request().Context(), timeout)
	defer cancel()
	responseChan := make(chan response, 1)
	reply := func(a response) {
		select {
		case responseChan <- a:
		default: // only the first response is written
		}
	}
	job := &pool.Job{
		Run:     func() { run(reply) },
		Abandon: func(err error) { reply(errorResponse(http.StatusServiceUnavailable, err.Error())) },
	}
	if err := o.c.Pool.Submit(ctx, job); err != nil {
		return writeUnavailable(e, "the instance is busy or stopping")
	}
	select {
	case a := <-responseChan:
		return writeResponse(e, a)
	case <-ctx.Done():
		return writeResponse(e, onTimeout())
	}
}

// timeoutResponse returns the response to a read that timed out.
func timeoutResponse() response {
	return errorResponse(http.StatusServiceUnavailable, "the instance did not answer in time")
}

func writeUnavailable(e echo.Context, text string) error {
	e.Response().Header().Set("Retry-After", "1")
	return writeResponse(e, errorResponse(http.StatusServiceUnavailable, text))
}

func writeResponse(e echo.Context, a response) error {
	b, err := json.Marshal(a.body, json.Deterministic(true))
	if err != nil {
		return errors.Wrap(err, "encode response")
	}
	return e.JSONBlob(a.code, append(b, '\n'))
}

// writeError is the error handler of echo: it responds to requests that no handler responded to.
func writeError(err error, e echo.Context) {
	if e.Response().Committed {
		return
	}
	a := errorResponse(http.StatusInternalServerError, "internal error")
	var he *echo.HTTPError
	if errors.As(err, &he) {
		a = errorResponse(he.Code, http.StatusText(he.Code))
	}
	_ = writeResponse(e, a) // fails only if the connection is closed
}
