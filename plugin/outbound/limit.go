package outbound

import (
	"context"
	"net/http"
	"time"

	"github.com/celeryyard/celeryyard/core/verdict"
	"github.com/celeryyard/celeryyard/plugin/limiter"
)

// admitTeam takes a token of the rate limit of the calling team, and answers the call if there is none. It may wait for one
// exchange with a control instance. Calls without a team and teams without a limit pass.
func (c *call) admitTeam() bool {
	if c.o.limiter == nil || c.caller == nil || !c.caller.IsLimited() {
		return true
	}
	ctx, cancel := context.WithDeadline(c.r.Context(), c.deadline)
	defer cancel()
	outcome, retryAfter := c.o.limiter.Admit(ctx, c.caller, time.Now())
	switch outcome {
	case limiter.Admitted:
		return true
	case limiter.OverLimit:
		c.limitRetryAfter = retryAfter
		c.respondError(http.StatusTooManyRequests, verdict.NotRun, "the team has used its rate limit")
	default:
		c.respondError(http.StatusServiceUnavailable, verdict.NotRun, "the use of the team's rate limit is not known: no control instance answered")
	}
	return false
}
