package limiter

import (
	"math"
	"slices"
	"time"

	"github.com/celeryyard/celeryyard/core/peerapi"
)

// NextRequest returns the request that is to be sent at now; nil if none is due or one is in flight. The caller must pass its
// reply, or nil if there is none, to Apply.
func (s *Stock) NextRequest(now time.Duration) *peerapi.QuotaTakeRequest {
	if at, due := s.nextRequestAt(now); !due || at > now {
		return nil
	}
	s.dropEnded(now)
	if len(s.current.loans) == 0 {
		s.current.applied, s.nameAll = 0, true
	}
	s.seq++
	s.sentAt, s.inFlight = now, &sentRequest{s.seq, now}
	r := &peerapi.QuotaTakeRequest{
		Incarnation: s.incarnation, Seq: s.seq, Applied: s.current.applied,
		Instance: s.current.instance, InstanceIncarnation: s.current.incarnation, Full: s.nameAll,
	}
	for name, t := range s.teams {
		if m := s.teamTake(name, t, now); s.nameAll || t.mustName(&m) {
			t.sent, t.returned = m, 0
			r.Teams = append(r.Teams, m)
		}
	}
	slices.SortFunc(r.Teams, func(a, b peerapi.TeamTake) int {
		if a.Team < b.Team {
			return -1
		}
		return 1
	})
	s.nameAll = false
	return r
}

// maxAnnouncements bounds the attempts of an announcement.
const maxAnnouncements = 5

// Announce makes the next request due without demand, because the node has a session and teams are limited: an instance that
// was started again waits to hear of the nodes to which it had lent. Once a reply is applied, nothing more is sent.
func (s *Stock) Announce() { s.announcements = maxAnnouncements }

// teamTake returns what a request at now states of the team, and gives up what the node no longer needs.
func (s *Stock) teamTake(name string, t *team, now time.Duration) peerapi.TeamTake {
	m := peerapi.TeamTake{Team: name, Want: len(t.queue), Demand: round(t.fast.read(now, fastTime))}
	t.asked = len(t.queue)
	slow := t.slow.read(now, slowTime)
	target := int(math.Ceil(ahead*s.o.Refill.Seconds()*t.fast.read(now, fastTime) - 0.2 + s.o.extraStock()))
	if slow >= stockDemandFactor*s.o.MinDemand {
		target = max(target, 1)
	}
	if slow >= s.o.MinDemand {
		m.Need = round(slow)
	} else {
		m.Demand = 0
	}
	l := s.current.loans[name]
	if l == nil {
		m.Stock = target
		return m
	}
	if surplus := l.tokens - target; surplus > target/2 {
		l.tokens, t.returned = target, t.returned+surplus
	}
	if m.Need == 0 {
		l.rate = 0
	}
	if l.tokens == 0 && l.rate == 0 && target == 0 {
		delete(s.current.loans, name)
	}
	m.Held, m.Returned, m.Rate = l.tokens, t.returned, l.rate
	m.Stock = max(target-l.tokens, 0)
	return m
}

// round returns a rate with two decimals: more would only make messages longer.
func round(rate float64) float64 { return math.Round(rate*100) / 100 }

// mustName reports whether the giver has to be told of the team.
func (t *team) mustName(m *peerapi.TeamTake) bool {
	differs := func(a, b float64) bool { return math.Abs(a-b) > 0.4*max(a, b)+0.3 || (a == 0) != (b == 0) }
	return m.Want > 0 || m.Held != t.sent.Held || m.Returned > 0 || m.Rate != t.sent.Rate || m.Stock > m.Held ||
		differs(m.Demand, t.sent.Demand) || differs(m.Need, t.sent.Need)
}

// nextRequestAt returns when the next request is due; due is false if none is needed or one is in flight.
func (s *Stock) nextRequestAt(now time.Duration) (at time.Duration, due bool) {
	if s.inFlight != nil {
		return 0, false
	}
	due = s.announcements > 0
	waiting, askAt := false, time.Duration(0)
	for name, t := range s.teams {
		if len(t.queue) > 0 && (!waiting || t.askAt < askAt) {
			waiting, askAt = true, t.askAt
		}
		due = due || t.slow.read(now, slowTime) >= s.o.MinDemand || s.holds(name)
	}
	if waiting {
		return max(s.sentAt+s.o.AskSpacing, s.retryAt, askAt), true
	}
	if s.announcements > 0 {
		return max(s.sentAt+s.o.AskSpacing, s.retryAt), true
	}
	return max(s.sentAt+s.o.Refill, s.retryAt), due
}

// WakeAt returns when Tick and NextRequest are to be called next; ok is false while there is nothing to do. While a request is
// in flight, only requests that wait need a call: its reply or its failure brings the next one.
func (s *Stock) WakeAt(now time.Duration) (at time.Duration, ok bool) {
	at, ok = s.nextRequestAt(now)
	for _, t := range s.teams {
		if len(t.queue) == 0 {
			continue
		}
		// Offline tokens accrue meanwhile.
		step := max(min(now+offlineStep, t.queue[0].since+s.o.MaxWait), now+time.Millisecond)
		if !ok || step < at {
			at, ok = step, true
		}
	}
	return at, ok
}

// offlineStep is the interval at which requests that wait are served from the offline rate.
const offlineStep = 20 * time.Millisecond

// Apply applies the reply to the request with the number seq; a nil reply means that the request failed. It returns the
// decisions on requests that waited.
func (s *Stock) Apply(seq uint64, r *peerapi.QuotaTakeReply, now time.Duration) []Decision {
	if s.inFlight == nil || s.inFlight.seq != seq {
		return nil
	}
	sentAt := s.inFlight.at
	s.inFlight = nil
	switch {
	case r == nil || now-sentAt > s.o.ReplyLimit:
		s.announcements = max(s.announcements-1, 0)
		s.nameAll, s.retryAt = true, now+failureSpacing
	case r.Outdated:
		s.nameAll, s.retryAt = true, now+s.o.AskSpacing
	case r.Forget && r.Instance == s.current.instance && r.Incarnation == s.current.incarnation:
		s.current.loans, s.nameAll = map[string]*loan{}, true
		s.retryAt = 0
	case r.Rebind || r.Instance != s.current.instance || r.Incarnation != s.current.incarnation:
		s.rebind(r.Instance, r.Incarnation)
		s.retryAt = 0
	default:
		return s.applyGrants(r, seq, sentAt, now)
	}
	return nil
}

// rebind makes another incarnation of an instance the giver. What the node holds of earlier incarnations of that instance
// is given up; what it holds of other instances stays valid until it ends.
func (s *Stock) rebind(instance string, incarnation uint64) {
	next := &giver{instance: instance, incarnation: incarnation, loans: map[string]*loan{}}
	var former []*giver
	for _, g := range append(s.former, s.current) {
		switch {
		case g.instance == instance && g.incarnation == incarnation:
			next = g
		case g.instance != instance && len(g.loans) > 0:
			former = append(former, g)
		}
	}
	s.current, s.former, s.nameAll = next, former, true
	for _, t := range s.teams {
		t.sent, t.returned = peerapi.TeamTake{}, 0
	}
}

func (s *Stock) applyGrants(r *peerapi.QuotaTakeReply, seq uint64, sentAt, now time.Duration) []Decision {
	s.announcements = 0
	g := s.current
	g.applied, g.answeredAt, g.validUntil = seq, sentAt, sentAt+time.Duration(r.LeaseMillis)*time.Millisecond
	g.silentAfter = time.Duration(r.SilentMillis) * time.Millisecond
	for _, l := range g.loans {
		l.level, l.levelAt = 0, 0
	}
	var out []Decision
	for i := range r.Teams {
		grant := &r.Teams[i]
		t := s.teams[grant.Team]
		if t == nil {
			t = &team{}
			s.teams[grant.Team] = t
		}
		l := g.loans[grant.Team]
		if l == nil {
			l = &loan{}
			g.loans[grant.Team] = l
		}
		if recalled := min(-grant.Tokens, l.tokens); recalled > 0 {
			l.tokens, t.returned = l.tokens-recalled, t.returned+recalled
		}
		l.tokens += max(grant.Tokens, 0)
		// The giver counts these tokens as held until a request states that they are gone. Without this, tokens of teams with
		// little demand at a node were never reported, and used up the capacity of the team.
		t.sent.Held += max(grant.Tokens, 0)
		l.rate = max(grant.Rate, 0)
		for range grant.Tokens {
			t.granted.add(now, slowTime)
		}
		t.isUnknown = grant.Unknown
		if grant.RetryMillis > 0 {
			t.pace = time.Duration(grant.PaceMillis) * time.Millisecond
		}
		out = s.serve(grant.Team, t, now, out)
		switch {
		case len(t.queue) == 0 || grant.RetryMillis == 0:
		case grant.Unknown || s.isOffline(grant.Team, now):
			// Tokens of an offline rate accrue while the requests wait.
			t.askAt = now + failureSpacing
		case grant.Pending:
			t.askAt = now + s.o.AskSpacing
		case t.isPatient(now):
			t.askAt = now + patience/10
		default:
			retry := time.Duration(grant.RetryMillis) * time.Millisecond
			t.refuseUntil = now + min(max(retry, minRefusal), maxRefusal)
			t.nextSlot = max(t.nextSlot, now+retry-t.step(now))
			for len(t.queue) > 0 {
				out = append(out, t.refuseFirst(OverLimit, now))
			}
		}
	}
	s.dropIdle(now)
	return out
}
