// Package limiter admits the requests of calling teams with a rate limit at a node, with tokens from a control instance.
package limiter

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-json-experiment/json"
	"github.com/rs/zerolog"

	"github.com/celeryyard/celeryyard/core/peerapi"
	"github.com/celeryyard/celeryyard/core/resource"
	"github.com/celeryyard/celeryyard/kernel"
	"github.com/celeryyard/celeryyard/kernel/clock"
	"github.com/celeryyard/celeryyard/kernel/event"
	"github.com/celeryyard/celeryyard/kernel/rank"
)

var (
	evFailed    = event.Declare(770, zerolog.DebugLevel, "control instance did not answer a request for tokens")
	evGiver     = event.Declare(771, zerolog.DebugLevel, "tokens come from another control instance")
	evOverLimit = event.Declare(772, zerolog.InfoLevel, "team is at its rate limit; requests are refused")
	evUnknown   = event.Declare(773, zerolog.WarnLevel, "use of a team's rate limit is unknown; requests are refused")
)

// logInterval is the shortest time between two log lines about refusals of one kind.
const logInterval = 10 * time.Second

// Session is the interface of the plug-in "session" that limiter uses.
type Session interface {
	// Call sends a request to the attached instance. done is called in a job.
	Call(method string, params any, timeout time.Duration, done func(raw []byte, err error))
	// Incarnation identifies this start of the node.
	Incarnation() uint64
}

// Limiter is the plug-in.
type Limiter struct {
	c         *kernel.Context
	s         *Settings
	session   Session
	startedAt time.Time

	// mu guards the fields below. It is not held during calls of session, whose lock has a lower rank.
	mu      *rank.Mutex
	elapsed Elapsed
	stock   *Stock
	usage   usage
	waiting map[uint64]chan Decision
	// timer runs at wakeAt; nil if nothing is scheduled.
	timer  clock.Timer
	wakeAt time.Duration
	// isPumping is set while a job sends the next request.
	isPumping bool
	giver     string
	// hasLimits is set while the configuration has a team with a limit.
	hasLimits bool
	loggedAt  map[Outcome]time.Duration

	takes, failures *metrics.Counter
	waits           *metrics.Histogram
}

func newLimiter(c *kernel.Context, s *Settings, session Session) *Limiter {
	l := &Limiter{
		c: c, s: s, session: session, startedAt: c.Clock.Now(), mu: rank.NewMutex(rank.Limiter),
		usage:   usage{c.Metrics, map[string]*teamMetrics{}},
		waiting: map[uint64]chan Decision{}, loggedAt: map[Outcome]time.Duration{},
		takes:    c.Metrics.NewCounter("celeryyard_limiter_takes_total"),
		failures: c.Metrics.NewCounter("celeryyard_limiter_failed_takes_total"),
		waits:    c.Metrics.NewHistogram("celeryyard_limiter_wait_seconds"),
	}
	l.stock = NewStock(Options{ReplyLimit: s.ReplyLimit.AsDuration(), MaxWait: s.MaxWait.AsDuration(), UnknownWait: s.UnknownWait.AsDuration(), Refill: s.Refill.AsDuration(), AskSpacing: s.AskSpacing.AsDuration(), MinDemand: s.MinDemand}, l.session.Incarnation())
	return l
}

// applySnapshot announces the node when the configuration has its first team with a limit.
func (l *Limiter) applySnapshot(s *resource.Snapshot) {
	limited := slices.ContainsFunc(slices.Collect(maps.Values(s.Callers)), (*resource.Caller).IsLimited)
	l.mu.Lock()
	isNew := limited && !l.hasLimits
	l.hasLimits = limited
	l.mu.Unlock()
	if isNew {
		l.announce()
	}
}

// announce lets the attached instance know of this node; see Stock.Announce.
func (l *Limiter) announce() {
	l.mu.Lock()
	pump := false
	if l.hasLimits {
		l.stock.Announce()
		pump = l.schedule(l.elapsed.Read(l.c.Clock.Now()))
	}
	l.mu.Unlock()
	if pump && l.c.TryGo("limiter/take", l.pump) != nil {
		l.endPump()
	}
}

// Start implements kernel.Plugin.
func (l *Limiter) Start(context.Context) error { return nil }

// Stop implements kernel.Plugin.
func (l *Limiter) Stop(context.Context) error { return nil }

// Admit decides on a request of a team. It returns Admitted, OverLimit or Unknown, and for the latter two when a token is
// expected. It waits for a token, for MaxWait at most or until ctx ends; a team without a limit never waits.
func (l *Limiter) Admit(ctx context.Context, caller *resource.Caller, now time.Time) (Outcome, time.Duration) {
	if caller == nil || !caller.IsLimited() {
		return Admitted, 0
	}
	l.mu.Lock()
	at := l.elapsed.Read(now)
	d := l.stock.Admit(caller.Name, at)
	m := l.usage.of(caller.Name)
	var decided chan Decision
	if d.Outcome == Waiting {
		decided = make(chan Decision, 1)
		l.waiting[d.Ticket] = decided
	}
	// An admitted request changes nothing that a scheduled call would not see.
	pump := (d.Outcome == Waiting || l.timer == nil) && l.schedule(at)
	l.mu.Unlock()
	if pump && l.c.TryGo("limiter/take", l.pump) != nil {
		l.endPump()
	}
	if decided != nil {
		select {
		case d = <-decided:
		case <-ctx.Done():
			d = l.cancel(caller.Name, d.Ticket)
		}
		l.waits.Update(l.c.Clock.Now().Sub(now).Seconds())
	}
	m.count(d.Outcome)
	if d.Outcome != Admitted {
		l.logRefusal(caller.Name, d)
	}
	return d.Outcome, d.RetryAfter
}

// cancel ends the wait of a request whose caller has gone.
func (l *Limiter) cancel(team string, ticket uint64) Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stock.Cancel(team, ticket)
	delete(l.waiting, ticket)
	return Decision{Ticket: ticket, Outcome: Unknown, RetryAfter: minRetry}
}

// schedule makes sure that the stock is called when it needs to be. It reports whether the caller must queue pump at once.
// mu is held.
func (l *Limiter) schedule(now time.Duration) (pump bool) {
	at, ok := l.stock.WakeAt(now)
	if !ok || l.isPumping {
		return false
	}
	if at <= now {
		l.isPumping = true
		return true
	}
	if l.timer == nil || at < l.wakeAt {
		l.startTimer(now, at)
	}
	return false
}

// startTimer makes the timer run at the time at. mu is held.
func (l *Limiter) startTimer(now, at time.Duration) {
	if l.timer != nil {
		l.timer.Stop()
	}
	l.wakeAt = at
	l.timer = l.c.RunAfter(at-now, "limiter/take", l.wake)
}

// wake runs pump when a timer ends, unless it is queued already.
func (l *Limiter) wake() {
	l.mu.Lock()
	l.timer = nil
	pump := !l.isPumping
	l.isPumping = true
	l.mu.Unlock()
	if pump {
		l.pump()
	}
}

// pump ends waits that are due and sends the next request if it is due.
func (l *Limiter) pump() {
	l.mu.Lock()
	now := l.elapsed.Read(l.c.Clock.Now())
	l.resolve(l.stock.Tick(now))
	r := l.stock.NextRequest(now)
	l.isPumping = false
	if l.schedule(now) { // at once, but not without a pause
		l.isPumping = false
		l.startTimer(now, now+l.s.AskSpacing.AsDuration())
	}
	l.mu.Unlock()
	if r == nil {
		return
	}
	if r.Applied == 0 {
		// Not by elapsed, which may be too long: the instance relies on the earlier start having ended that long ago.
		r.AgeMillis = int(l.c.Clock.Now().Sub(l.startedAt).Milliseconds())
	}
	l.takes.Inc()
	l.session.Call(peerapi.QuotaTake, r, l.s.ReplyLimit.AsDuration(), func(raw []byte, err error) { l.receive(r.Seq, raw, err) })
}

// endPump lets a timer run pump, because the queue of jobs is full.
func (l *Limiter) endPump() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isPumping = false
	now := l.elapsed.Read(l.c.Clock.Now())
	l.startTimer(now, now+l.s.AskSpacing.AsDuration())
}

// receive applies the answer to a request.
func (l *Limiter) receive(seq uint64, raw []byte, err error) {
	var reply *peerapi.QuotaTakeReply
	if err == nil {
		reply = &peerapi.QuotaTakeReply{}
		err = json.Unmarshal(raw, reply)
	}
	if err != nil {
		reply = nil
		l.failures.Inc()
		l.c.Log.Log(evFailed).Err(err).Send()
	}
	l.mu.Lock()
	now := l.elapsed.Read(l.c.Clock.Now())
	l.resolve(l.stock.Apply(seq, reply, now))
	changed := reply != nil && reply.Instance != l.giver
	if changed {
		l.giver = reply.Instance
	}
	pump := l.schedule(now)
	l.mu.Unlock()
	if changed {
		l.c.Log.Log(evGiver).Str("process", reply.Instance).Send()
	}
	if pump {
		l.pump()
	}
}

// resolve passes decisions to the requests that wait for them. mu is held.
func (l *Limiter) resolve(list []Decision) {
	for _, d := range list {
		if decided := l.waiting[d.Ticket]; decided != nil {
			decided <- d // has room for one
			delete(l.waiting, d.Ticket)
		}
	}
}

// logRefusal logs a refusal, at most once in logInterval for each outcome.
func (l *Limiter) logRefusal(team string, d Decision) {
	l.mu.Lock()
	now := l.elapsed.Read(l.c.Clock.Now())
	last, logged := l.loggedAt[d.Outcome]
	due := !logged || now-last >= logInterval
	if due {
		l.loggedAt[d.Outcome] = now
	}
	l.mu.Unlock()
	if !due {
		return
	}
	ev := evOverLimit
	if d.Outcome == Unknown {
		ev = evUnknown
	}
	l.c.Log.Log(ev).Str("team", team).Int("retry_after_ms", int(d.RetryAfter.Milliseconds())).Send()
}
