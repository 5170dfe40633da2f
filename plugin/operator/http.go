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

// identityKey is the key of the Identity in echo's context.
const identityKey = "identity"

// answer is a complete response.
type answer struct {
	code int
	body any
}

// failure is the body of a response that carries no state.
type failure struct {
	Error string `json:"error"`
}

func fail(code int, text string) answer { return answer{code, failure{text}} }

// authenticate admits requests with a known token.
func (o *Operator) authenticate(next echo.HandlerFunc) echo.HandlerFunc {
	return func(e echo.Context) error {
		o.requests.Inc()
		scheme, token, _ := strings.Cut(e.Request().Header.Get(echo.HeaderAuthorization), " ")
		who, ok := o.tokens.find(token)
		if !ok || !strings.EqualFold(scheme, "Bearer") {
			o.badTokens.Inc()
			o.c.Log.Log(evToken).Str("remote", e.Request().RemoteAddr).Send()
			e.Response().Header().Set(echo.HeaderWWWAuthenticate, "Bearer")
			return write(e, fail(http.StatusUnauthorized, "a valid bearer token is required"))
		}
		e.Set(identityKey, who)
		return next(e)
	}
}

func identity(e echo.Context) Identity { return e.Get(identityKey).(Identity) }

// share bounds what one organisation uses of the instance, so that another one
// does not notice it.
type share struct {
	// waiting holds one element for each request that waits for an answer.
	waiting chan struct{}
	// changes bounds the changes that reach the log.
	changes *rate.Limiter
}

func newShare(s *Settings) *share {
	return &share{waiting: make(chan struct{}, s.MaxWaiting), changes: rate.NewLimiter(rate.Limit(s.ChangeRate), s.ChangeBurst)}
}

// await runs start as a job and waits for the answer that it passes to reply, at
// once or from a later job. After limit it writes the result of late instead.
func (o *Operator) await(e echo.Context, limit time.Duration, late func() answer, start func(reply func(answer))) error {
	waiting := o.shares[identity(e).Organisation].waiting
	select {
	case waiting <- struct{}{}:
		defer func() { <-waiting }()
	default:
		return unavailable(e, "too many requests of the organisation are waiting")
	}
	ctx, cancel := context.WithTimeout(e.Request().Context(), limit)
	defer cancel()
	done := make(chan answer, 1)
	reply := func(a answer) {
		select {
		case done <- a:
		default: // a second answer has no reader
		}
	}
	job := &pool.Job{
		Run:     func() { start(reply) },
		Abandon: func(err error) { reply(fail(http.StatusServiceUnavailable, err.Error())) },
	}
	if err := o.c.Pool.Submit(ctx, job); err != nil {
		return unavailable(e, "the instance is busy or stopping")
	}
	select {
	case a := <-done:
		return write(e, a)
	case <-ctx.Done():
		return write(e, late())
	}
}

// slow is the answer to a read that got none in time.
func slow() answer {
	return fail(http.StatusServiceUnavailable, "the instance did not answer in time")
}

func unavailable(e echo.Context, text string) error {
	e.Response().Header().Set("Retry-After", "1")
	return write(e, fail(http.StatusServiceUnavailable, text))
}

func write(e echo.Context, a answer) error {
	b, err := json.Marshal(a.body, json.Deterministic(true))
	if err != nil {
		return errors.Wrap(err, "encode response")
	}
	return e.JSONBlob(a.code, append(b, '\n'))
}

// writeError answers requests that no handler answered.
func writeError(err error, e echo.Context) {
	if e.Response().Committed {
		return
	}
	a := fail(http.StatusInternalServerError, "internal error")
	var he *echo.HTTPError
	if errors.As(err, &he) {
		a = fail(he.Code, http.StatusText(he.Code))
	}
	_ = write(e, a) // the connection is gone when this fails
}
