package outbound

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/celeryyard/celeryyard/core/httpcall"
	"github.com/celeryyard/celeryyard/core/verdict"
)

// Constants of calls that get no answer.
const (
	// silentFactor is the multiple of the usual duration of a route's calls after which
	// a call that may run again is sent to another endpoint. Durations scatter by half
	// of their mean; about one call in a hundred takes that long by itself.
	silentFactor = 3
	// silentLeast is the least time to wait for an answer.
	silentLeast = 100 * time.Millisecond
)

// errSilent means that an endpoint took much longer than usual.
var errSilent = errors.New("no answer in the time that such calls usually take")

// silence ends an attempt that gets no answer, so that the call can be made again. The
// retry is taken from the budget first: without one the attempt goes on.
type silence struct {
	timer *time.Timer
	ended atomic.Bool
}

// silentAfter is how long an attempt may go without an answer; 0 for no bound.
func silentAfter(usual, left time.Duration, idempotent bool, arrivals, most int) time.Duration {
	if !idempotent || usual <= 0 || arrivals+1 >= most {
		return 0
	}
	wait := max(silentFactor*usual, silentLeast)
	if left-wait < usual {
		return 0 // another attempt would not end in time
	}
	return wait
}

// watch ends the attempt by its context after the time that such calls usually take.
func (c *call) watch(cancel context.CancelFunc) *silence {
	s := &silence{}
	if c.key != "" {
		return s
	}
	idem := !c.route.AtMostOnce && idempotent(c.r.Method, c.route.Idempotent) && c.body.CanSend()
	now := time.Now()
	wait := silentAfter(c.o.classes.mean(c.route.Name), c.deadline.Sub(now), idem, c.arrivals, c.route.MaxAttempts)
	if wait == 0 {
		return s
	}
	s.timer = time.AfterFunc(wait, func() {
		if c.o.table.retry(c.cluster, time.Now()) {
			s.ended.Store(true)
			cancel()
		}
	})
	return s
}

// stop ends the watch and reports whether it has ended the attempt.
func (s *silence) stop() bool {
	if s.timer != nil {
		s.timer.Stop()
	}
	return s.ended.Load()
}

// failure replaces that of an attempt which the watch has ended; f is nil when the
// answer came at the same moment.
func (s *silence) failure(f *httpcall.Failure) *httpcall.Failure {
	if f != nil && f.Verdict() == verdict.NotRun {
		return httpcall.NewFailure(httpcall.KindUnreachable, verdict.NotRun, errSilent)
	}
	return httpcall.NewFailure(httpcall.KindCut, verdict.MayHaveRun, errSilent)
}
