package outbound

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/celeryyard/celeryyard/core/httpcall"
	"github.com/celeryyard/celeryyard/core/verdict"
	"github.com/celeryyard/celeryyard/kernel"
)

// lastAnswerMargin is the time before the exit at which the calls still in progress are answered: the connection of a
// call without an answer would end without one.
const lastAnswerMargin = 100 * time.Millisecond

// minMaxStay is the shortest stay in a queue after which a call is offered again without counting the offer, so that a
// node that returns calls at once is not asked over and over.
const minMaxStay = 50 * time.Millisecond

var errStopping = errors.New("this node stops before the call could end")

// mayBegin reports whether a call that arrives now, during a planned stop, is accepted. mean is the
// mean duration of its route's calls; 0 if unknown.
//
// Until the end of the drain time callers cannot know that they should have left, so a call is
// accepted if it is expected to end before the process exits. A later call is accepted only if its
// deadline lies before that: a call that runs longer than expected, or waits in a queue, would be cut
// while it runs, and some calls must not be repeated.
func mayBegin(now, deadline time.Time, stop kernel.StopSchedule, mean time.Duration) bool {
	end := deadline
	if expected := stop.ExpectedEnd(now, mean); mean > 0 && now.Before(stop.DrainEnd) && expected.Before(end) {
		end = expected
	}
	return stop.Fits(end)
}

// queueLimits returns two limits for the queue of an endpoint that a call is offered to. maxWait is the longest wait for a
// slot; a call that is expected to wait longer is rejected on arrival. maxStay is the time after which a call that has not
// started is returned. 0 means no limit but the deadline.
//
// wait is the longest wait apart from a planned stop; it applies to routes with a target latency (hasTarget) only. stopping
// tells whether this node stops. Before that, a call that could wait past latestStart is given a limit of its stay: it
// may still get a slot in time, and it comes back in time whenever the stop begins.
func queueLimits(now, deadline, latestStart time.Time, wait time.Duration, hasTarget, stopping bool) (maxWait, maxStay time.Duration) {
	if hasTarget {
		maxWait = wait
	}
	stay := max(latestStart.Sub(now), minMaxStay)
	if !deadline.After(now.Add(stay)) || hasTarget && maxWait <= stay {
		return maxWait, 0
	}
	if stopping {
		maxWait = stay
	}
	return maxWait, stay
}

// latestStart returns the time from which the call must not start any more if this node stops now or is stopping.
func (c *call) latestStart(now time.Time) time.Time {
	return c.o.c.NextStop(now).LatestStart(c.deadline, c.o.routeStats.meanDuration(c.route.Name))
}

// isTooLateToStart reports whether this node stops before the call could end if it was offered now.
func (c *call) isTooLateToStart(now time.Time) bool {
	return c.o.c.IsStopping() && !now.Before(c.latestStart(now))
}

// isReturned reports whether an endpoint's node has returned the call because of the limit of its stay. took is the
// duration of the offer. The call can then be offered again as before.
func isReturned(f *httpcall.Failure, took time.Duration) bool {
	return f.Kind == httpcall.KindRejected && f.Reason == httpcall.ReasonStayOver && took >= minMaxStay
}

func newStoppingFailure() *httpcall.Failure {
	return httpcall.NewFailure(httpcall.KindUnreachable, verdict.NotRun, errStopping)
}

// Drain implements kernel.Drainer. Calls that are still in progress shortly before the process exits are answered with
// an error.
func (o *Outbound) Drain() {
	if stop, stopping := o.c.StopSchedule(); stopping && o.server != nil {
		time.AfterFunc(time.Until(stop.Deadline.Add(-lastAnswerMargin)), o.server.CancelRequests)
	}
}
