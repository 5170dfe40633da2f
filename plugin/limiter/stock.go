package limiter

import (
	"math"
	"slices"
	"time"

	"github.com/celeryyard/celeryyard/core/peerapi"
)

// Options are the times by which a Stock decides.
type Options struct {
	// ReplyLimit is how long after the sending of a request its reply counts.
	ReplyLimit time.Duration
	// MaxWait bounds the time for which a request waits for a token.
	MaxWait time.Duration
	// UnknownWait bounds it while the use of the limit is unknown.
	UnknownWait time.Duration
	// Refill is the interval of the requests while there is demand. AskSpacing is the shortest time between two requests.
	Refill, AskSpacing time.Duration
	// MinDemand is the demand in requests per second below which a node holds nothing for a team, and asks for each request.
	MinDemand float64
}

// Parameters of the stock.
const (
	// ahead is the time of demand for which tokens are held, relative to the interval of the requests. It exceeds the
	// interval, so that a steady demand is served without waiting.
	ahead = 1.5
	// stockDemandFactor is the demand from which a node holds a token of a team in advance, relative to Options.MinDemand.
	stockDemandFactor = 2
	// failureSpacing is the time between a request that failed and the next one.
	failureSpacing = 100 * time.Millisecond
	// minRefusal and maxRefusal bound the time for which further requests of a team are refused without asking.
	minRefusal, maxRefusal = 100 * time.Millisecond, 200 * time.Millisecond
	// patience is the time for which requests wait at the beginning of a shortage: an instance gets tokens of a team whose
	// clients have moved within that time. calmTime without a shortage ends it.
	patience, calmTime = 250 * time.Millisecond, 2 * time.Second
	// maxQueue bounds the requests of a team that wait.
	maxQueue = 512
)

// extraStock returns how many tokens are held in advance beyond the demand: with a long AskSpacing, a request without a token
// waits long.
func (o *Options) extraStock() float64 { return min(5*o.AskSpacing.Seconds(), 0.6) }

// Outcome is the decision on a request.
type Outcome int

// Outcomes of a request.
const (
	// Waiting means that the request waits for a token; Stock resolves it later.
	Waiting Outcome = iota
	// Admitted means that a token was spent on the request.
	Admitted
	// OverLimit means that the team is at its limit.
	OverLimit
	// Unknown means that the node cannot know whether the team is at its limit.
	Unknown
)

// Decision is the decision on one request.
type Decision struct {
	Ticket  uint64
	Outcome Outcome
	// RetryAfter is when a token is expected for a request that was not admitted.
	RetryAfter time.Duration
}

// loan is what the node holds of one giver for one team.
type loan struct {
	tokens int
	rate   float64
	// level is the number of offline tokens at the time levelAt.
	level   float64
	levelAt time.Duration
}

// giver is a control instance from which the node holds something.
type giver struct {
	instance    string
	incarnation uint64
	// applied is the number of the last request whose reply was applied, and answeredAt the time of its sending.
	applied    uint64
	answeredAt time.Duration
	validUntil time.Duration
	// silentAfter is how long after a confirmed reply the giver reserves the offline rates.
	silentAfter time.Duration
	loans       map[string]*loan
}

type waiter struct {
	ticket uint64
	since  time.Duration
}

// team is the state of one team at this node.
type team struct {
	fast, slow, granted meter
	queue               []waiter
	// asked is the number of waiting requests that the request in flight covers.
	asked int
	// refuseUntil is the end of the time in which requests are refused without asking. nextSlot is when the last refused
	// request can expect a token.
	refuseUntil, nextSlot time.Duration
	// shortSince and shortAt are the first and the last time of a shortage of tokens; after calmTime without one, the next
	// is a new one.
	shortSince, shortAt time.Duration
	// askAt is the earliest time for a request on behalf of those that wait.
	askAt time.Duration
	// pace is the time between two tokens that the giver expects for this node; 0 if it is unknown. isUnknown is set while
	// the giver cannot tell whether the team is at its limit.
	pace      time.Duration
	isUnknown bool
	// returned is the number of tokens given up since the last request that was answered; sent is what it stated.
	returned int
	sent     peerapi.TeamTake
}

// sentRequest is the request in flight.
type sentRequest struct {
	seq uint64
	at  time.Duration
}

// Stock is what a node holds of the limits of calling teams, and the requests that wait for it. It does no I/O; all times
// are those of one Elapsed. It is not safe for concurrent use.
type Stock struct {
	o           Options
	incarnation uint64
	seq         uint64
	lastTicket  uint64
	teams       map[string]*team
	current     *giver
	former      []*giver
	inFlight    *sentRequest
	// sentAt is the time of the last request; retryAt is the earliest time for the next one.
	sentAt, retryAt time.Duration
	// nameAll makes the next request name all teams, because the last one may not have arrived.
	nameAll bool
	// announcements is how often a request is still sent although there is no demand; see Announce.
	announcements int
}

// NewStock returns an empty stock; incarnation identifies this start of the node.
func NewStock(o Options, incarnation uint64) *Stock {
	return &Stock{o: o, incarnation: incarnation, teams: map[string]*team{}, current: &giver{loans: map[string]*loan{}}}
}

// Admit decides on a request of a team. If the outcome is Waiting, a later call of Apply or Tick returns the decision for
// the ticket.
func (s *Stock) Admit(name string, now time.Duration) Decision {
	t := s.teams[name]
	if t == nil {
		t = &team{}
		s.teams[name] = t
	}
	t.fast.add(now, fastTime)
	t.slow.add(now, slowTime)
	s.lastTicket++
	d := Decision{Ticket: s.lastTicket}
	switch {
	case len(t.queue) == 0 && s.spend(name, now):
		d.Outcome = Admitted
	case now < t.refuseUntil && !s.isOffline(name, now) || len(t.queue) >= maxQueue:
		d.Outcome, d.RetryAfter = OverLimit, t.reserveSlot(now, s.lastTicket)
	default:
		t.queue = append(t.queue, waiter{s.lastTicket, now})
	}
	return d
}

// Cancel removes a request that no longer waits.
func (s *Stock) Cancel(name string, ticket uint64) {
	t := s.teams[name]
	if t == nil {
		return
	}
	for i, w := range t.queue {
		if w.ticket == ticket {
			t.queue = append(t.queue[:i], t.queue[i+1:]...)
			t.asked = min(t.asked, len(t.queue))
			return
		}
	}
}

// spend takes a token of the team from what the node holds and reports whether there was one.
func (s *Stock) spend(name string, now time.Duration) bool {
	if s.current.spendToken(name, now) {
		return true
	}
	for _, g := range s.former {
		if g.spendToken(name, now) {
			return true
		}
	}
	if s.current.spendOffline(name, now, s.o.ReplyLimit) {
		return true
	}
	for _, g := range s.former {
		if g.spendOffline(name, now, s.o.ReplyLimit) {
			return true
		}
	}
	return false
}

func (g *giver) spendToken(name string, now time.Duration) bool {
	l := g.loans[name]
	if l == nil || l.tokens == 0 || now >= g.validUntil {
		return false
	}
	l.tokens--
	return true
}

// offlineMargin is added to the time after which the offline rate is used.
const offlineMargin = 50 * time.Millisecond

// offlineStart returns from when on the offline rates may be used: the giver has certainly reserved them then. It counts from
// its reply to the last request that was answered, which arrived within replyLimit of the sending.
func (g *giver) offlineStart(replyLimit time.Duration) time.Duration {
	return g.answeredAt + replyLimit + g.silentAfter + offlineMargin
}

// spendOffline takes a token from the offline rate.
func (g *giver) spendOffline(name string, now, replyLimit time.Duration) bool {
	l := g.loans[name]
	start := g.offlineStart(replyLimit)
	if l == nil || l.rate == 0 || now < start || now >= g.validUntil {
		return false
	}
	if from := max(l.levelAt, start); now > from {
		l.level = min(l.level+l.rate*(now-from).Seconds(), peerapi.OfflineCapacity(l.rate))
	}
	l.levelAt = now
	if l.level < 1 {
		return false
	}
	l.level--
	return true
}

// isOffline reports whether an offline rate of the team may be used at now.
func (s *Stock) isOffline(name string, now time.Duration) bool {
	for _, g := range append([]*giver{s.current}, s.former...) {
		if l := g.loans[name]; l != nil && l.rate > 0 && now >= g.offlineStart(s.o.ReplyLimit) && now < g.validUntil {
			return true
		}
	}
	return false
}

// Tick serves requests that wait from the offline rate, and ends those that have waited for MaxWait.
func (s *Stock) Tick(now time.Duration) []Decision {
	s.dropEnded(now)
	var out []Decision
	for name, t := range s.teams {
		out = s.serve(name, t, now, out)
		for len(t.queue) > 0 && now-t.queue[0].since >= s.hold(name, t, now) {
			outcome := Unknown
			if s.isOffline(name, now) {
				outcome = OverLimit
			}
			out = append(out, t.refuseFirst(outcome, now))
		}
	}
	s.dropIdle(now)
	return out
}

// dropIdle forgets teams without demand of which the node holds nothing.
func (s *Stock) dropIdle(now time.Duration) {
	for name, t := range s.teams {
		if len(t.queue) == 0 && t.slow.read(now, slowTime) < s.o.MinDemand && !s.holds(name) {
			delete(s.teams, name)
		}
	}
}

// serve admits requests that wait while there are tokens.
func (s *Stock) serve(name string, t *team, now time.Duration, out []Decision) []Decision {
	for len(t.queue) > 0 && s.spend(name, now) {
		out = append(out, Decision{Ticket: t.queue[0].ticket, Outcome: Admitted})
		t.dropFirst()
	}
	return out
}

// isPatient takes note of a shortage at now and reports whether requests are still to wait.
func (t *team) isPatient(now time.Duration) bool {
	if t.shortSince == 0 || now-t.shortAt > calmTime {
		t.shortSince = now
	}
	t.shortAt = now
	return now-t.shortSince < patience
}

func (t *team) dropFirst() {
	t.queue = t.queue[1:]
	t.asked = max(t.asked-1, 0)
}

func (t *team) refuseFirst(outcome Outcome, now time.Duration) Decision {
	w := t.queue[0]
	t.dropFirst()
	if outcome == Unknown {
		return Decision{Ticket: w.ticket, Outcome: outcome, RetryAfter: minUnknownRetry + time.Duration(spread(w.ticket)*float64(unknownRetrySpread))}
	}
	return Decision{Ticket: w.ticket, Outcome: outcome, RetryAfter: t.reserveSlot(now, w.ticket)}
}

// hold returns how long requests of the team may wait. While their use is unknown the wait is short: the answer may not come
// before the leases of an earlier start of the instances have ended, and each request that waits holds memory of its node.
func (s *Stock) hold(name string, t *team, now time.Duration) time.Duration {
	if (t.isUnknown || !s.isReached(now)) && !s.isOffline(name, now) {
		return min(s.o.UnknownWait, s.o.MaxWait)
	}
	return s.o.MaxWait
}

// isReached reports whether the leases of some giver are valid at now.
func (s *Stock) isReached(now time.Duration) bool {
	return now < s.current.validUntil || slices.ContainsFunc(s.former, func(g *giver) bool { return now < g.validUntil })
}

// Bounds of RetryAfter. The upper one is the window of the limit: after it, the whole burst is available again.
const minRetry, maxRetry = 50 * time.Millisecond, 5 * time.Second

// minUnknownRetry and unknownRetrySpread are the lower bound and the width of the range of RetryAfter of a request whose
// team's use is unknown. After a restart of everything it becomes known within about half a second.
const minUnknownRetry, unknownRetrySpread = 300 * time.Millisecond, 200 * time.Millisecond

// spread returns a number in [0, 1) that is even over consecutive tickets.
func spread(ticket uint64) float64 {
	_, fraction := math.Modf(float64(ticket) * 0.6180339887)
	return fraction
}

// step returns the expected time between two tokens for this node. What was granted lately understates it after a start.
func (t *team) step(now time.Duration) time.Duration {
	step := time.Duration(float64(time.Second) / max(t.granted.read(now, slowTime), 0.5))
	if t.pace > 0 {
		return min(step, t.pace)
	}
	return step
}

// reserveSlot returns the time until a token is expected for a refused request, after those expected for the requests that
// were refused before. Times above the upper bound are spread below it.
func (t *team) reserveSlot(now time.Duration, ticket uint64) time.Duration {
	t.nextSlot = max(t.nextSlot, now, t.refuseUntil) + t.step(now)
	wait := t.nextSlot - now
	if wait <= maxRetry {
		return max(wait, minRetry)
	}
	t.nextSlot = now + maxRetry
	return time.Duration((0.6 + 0.4*spread(ticket)) * float64(maxRetry))
}

// holds reports whether the node holds something for the team, or its last message said so.
func (s *Stock) holds(name string) bool {
	t := s.teams[name]
	if t != nil && (t.sent.Held > 0 || t.sent.Rate > 0 || t.sent.Demand > 0 || t.returned > 0) {
		return true
	}
	l := s.current.loans[name]
	return l != nil && (l.tokens > 0 || l.rate > 0)
}

// dropEnded forgets what is no longer valid.
func (s *Stock) dropEnded(now time.Duration) {
	kept := s.former[:0]
	for _, g := range s.former {
		if now < g.validUntil {
			kept = append(kept, g)
		}
	}
	s.former = kept
	if len(s.current.loans) > 0 && now >= s.current.validUntil {
		s.current.loans = map[string]*loan{}
		s.nameAll = true
	}
}
