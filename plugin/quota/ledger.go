package quota

import (
	"time"

	"github.com/celeryyard/celeryyard/core/peerapi"
)

// Parameters of the division of a team's limit.
const (
	// poolRate and poolCapacity are the fractions that the leader keeps for instances that run out. The rest is enough for
	// the usual demand, 1/1.6 of the limit, while the leader is paused. Of the limit of a small team, whose parts are a few
	// tokens, the leader keeps more.
	poolRate, poolCapacity           = 0.15, 0.35
	smallPoolRate, smallPoolCapacity = 0.3, 0.5
	// floorRate and floorCapacity are the part of the limit of a small team that no leader gives away as shares, the first as
	// a fraction. A new leader can use it before all members have reported, so that a small team is served when the leader is
	// lost. Should the former leader still use it, or the limit have been lowered just before, the excess is at most one second
	// of the rate, and covered by the slack of 20 requests.
	floorRate, floorCapacity = 0.2, 2
	// smallRate is the rate in requests per second below which a team is small.
	smallRate = 15
	// minCapacity is the smallest useful capacity of a share: one below a token would never give any.
	minCapacity = 1.2
	// baseDemand is added to the demand of each instance, in requests per second, so that the noise of a small demand moves
	// nothing; baseFraction is added relative to the mean demand.
	baseDemand, baseFraction = 1, 0.1
	// lowerAbove is the excess over its target from which a share is lowered.
	lowerAbove = 1.1
	// quietAfter is the time without a report after which the demand of an instance does not count.
	quietAfter = 2 * time.Second
)

// part is the part of one team at one member.
type part struct {
	// counted is what the member may hold. frozen is what an earlier incarnation of it may have lent.
	counted, frozen share
	demand          float64
}

// account is the state of one team at the leader.
type account struct {
	limit Limit
	// given is the number of tokens that were given before all members were known.
	given float64
	// free is what is in the pool. While a member is not known, it is the sum of what known ones have given up; once all are
	// known, it follows from the limit.
	free  share
	level float64
	at    time.Duration
}

// Ledger divides the limits of calling teams among the members of a group, for the leader in one term. It does no I/O, and
// is not safe for concurrent use.
type Ledger struct {
	term     uint64
	members  map[string]*member
	accounts map[string]*account
	// starts holds the nodes of which members have told.
	starts nodeStarts
	// startedAt is the time of the first report.
	startedAt time.Duration
	// isComplete is set once all members of the group have been known at one moment. Members that join later hold nothing.
	isComplete bool
}

// NewLedger returns the ledger of a leader that has not heard of any member.
func NewLedger(term uint64) *Ledger {
	return &Ledger{term: term, members: map[string]*member{}, accounts: map[string]*account{}, starts: nodeStarts{}}
}

// SetMembers replaces the group. What a member held that has left is free.
func (l *Ledger) SetMembers(names []string) {
	listed := make(map[string]bool, len(names))
	for _, name := range names {
		listed[name] = true
		if l.members[name] == nil {
			l.members[name] = &member{parts: map[string]*part{}, isKnown: l.isComplete}
		}
	}
	for name := range l.members {
		if !listed[name] {
			delete(l.members, name)
		}
	}
	l.checkComplete()
}

// SetLimits replaces the limits in force.
func (l *Ledger) SetLimits(limits map[string]Limit, now time.Duration) {
	for name, limit := range limits {
		a := l.accounts[name]
		if a == nil {
			a = &account{at: now}
			l.accounts[name] = a
			a.limit = limit
			a.free = a.floor()
			if l.isComplete {
				a.level = limit.Capacity() // the team is new, and has used nothing
			}
		}
		l.changeLimit(a, limit, now)
	}
	for name, a := range l.accounts {
		if _, ok := limits[name]; !ok {
			l.changeLimit(a, Limit{}, now)
		}
	}
}

func (l *Ledger) changeLimit(a *account, limit Limit, now time.Duration) {
	a.refill(now)
	if !l.isComplete {
		// What members hold is unknown, so a limit that grows frees only what it grows by.
		if old := a.limit; old != limit {
			a.free.rate += limit.Rate - old.Rate
			a.free.capacity += limit.Capacity() - old.Capacity()
		}
	}
	a.limit = limit
	if l.isComplete {
		a.free.capacity = max(a.free.capacity, a.level) // until count finds the exact value
	}
}

// floor returns the part of the limit that is not given away as shares.
func (a *account) floor() share {
	if a.limit.Rate <= 0 || a.limit.Rate >= smallRate {
		return share{}
	}
	return share{floorRate * a.limit.Rate, floorCapacity}
}

// refill fills the pool of the team.
func (a *account) refill(now time.Duration) {
	if now > a.at {
		a.level += max(a.free.rate, 0) * (now - a.at).Seconds()
		a.at = now
	}
	a.level = max(min(a.level, a.free.capacity), 0)
}

// checkComplete sets isComplete once all members are known. A group in which no member has a record of leases, and all have
// reported, is new: no lease can exist.
func (l *Ledger) checkComplete() {
	if l.isComplete || len(l.members) == 0 {
		return
	}
	known, unrecorded := 0, 0
	for _, m := range l.members {
		if m.isKnown {
			known++
		}
		if m.hasReported && m.isUnrecorded {
			unrecorded++
		}
	}
	if unrecorded == len(l.members) {
		for _, m := range l.members {
			m.isKnown = true
		}
		known = len(l.members)
		if !l.anyHolds() {
			for _, a := range l.accounts {
				a.level, a.free.capacity = a.limit.Capacity(), a.limit.Capacity()
			}
		}
	}
	l.isComplete = known == len(l.members)
}

// anyHolds reports whether any member holds a share.
func (l *Ledger) anyHolds() bool {
	for _, m := range l.members {
		for _, p := range m.parts {
			if p.counted != (share{}) || p.frozen != (share{}) {
				return true
			}
		}
	}
	return false
}

// count recomputes the pool of the team once all members are known.
func (l *Ledger) count(name string, a *account, now time.Duration) {
	a.refill(now)
	if !l.isComplete {
		return
	}
	a.free = share{a.limit.Rate, a.limit.Capacity()}
	for _, m := range l.members {
		if p := m.parts[name]; p != nil {
			a.free.rate -= p.counted.rate + p.frozen.rate
			a.free.capacity -= p.counted.capacity + p.frozen.capacity
		}
	}
	a.refill(now)
}

// Report applies the report of a member and returns the reply, or nil for one that is to be ignored.
func (l *Ledger) Report(from string, r *peerapi.QuotaReportRequest, now time.Duration) *peerapi.QuotaReportReply {
	m := l.members[from]
	if m == nil || r.Incarnation == m.earlier && m.earlier != 0 {
		return nil // not in the group, or of a process that has been replaced
	}
	if r.Term < l.term || !r.Full && (!m.hasReported || r.Incarnation != m.incarnation) {
		return &peerapi.QuotaReportReply{Term: l.term, NeedFull: true}
	}
	isFirst := !m.hasReported
	if m.incarnation != r.Incarnation {
		m.restart(r.Incarnation)
	}
	if r.Seq <= m.seq {
		return nil
	}
	m.seq, m.heardAt, m.hasReported = r.Seq, now, true
	m.isUnrecorded = r.Leases == peerapi.LeasesUnrecorded
	if r.Leases == peerapi.LeasesEnded {
		l.thaw(m, now)
		m.isKnown = true
	}
	m.quietSince = now - time.Duration(max(r.QuietMillis, 0))*time.Millisecond
	if l.startedAt == 0 {
		l.startedAt = now
	}
	l.record(m, r, isFirst, now)
	wasComplete := l.isComplete
	if l.checkComplete(); l.isComplete && !wasComplete {
		l.creditQuiet(now)
	}
	reply := l.answer(m, r, now)
	l.find(m, r, reply, now)
	return reply
}

// record applies what a report states about shares. The first report of a member in a term changes no pool: what it holds
// was unknown before.
func (l *Ledger) record(m *member, r *peerapi.QuotaReportRequest, isFirst bool, now time.Duration) {
	named := make(map[string]bool, len(r.Teams))
	for i := range r.Teams {
		t := &r.Teams[i]
		named[t.Team] = true
		l.recordPart(m, t, isFirst, now)
	}
	for name, p := range m.parts {
		if r.Full && !named[name] && p.counted != (share{}) {
			l.recordPart(m, &peerapi.TeamShare{Team: name}, isFirst, now)
		}
	}
}

func (l *Ledger) recordPart(m *member, t *peerapi.TeamShare, isFirst bool, now time.Duration) {
	p := m.parts[t.Team]
	if p == nil {
		p = &part{}
		m.parts[t.Team] = p
	}
	before := p.counted
	p.counted, p.demand = share{max(t.Rate, 0), max(t.Capacity, 0)}, max(t.Demand, 0)
	a := l.accounts[t.Team]
	if a == nil {
		return
	}
	a.refill(now)
	if !l.isComplete && !isFirst {
		a.free.rate += before.rate - p.counted.rate
		a.free.capacity += before.capacity - p.counted.capacity
	}
	l.count(t.Team, a, now)
	a.level += float64(max(t.Returned, 0))
	a.refill(now)
}

// answer moves the shares of the member towards their targets and gives it tokens that it lacks.
func (l *Ledger) answer(m *member, r *peerapi.QuotaReportRequest, now time.Duration) *peerapi.QuotaReportReply {
	reply := &peerapi.QuotaReportReply{Term: l.term, Complete: l.isComplete && !m.isFrozen()}
	for i := range r.Teams {
		t := &r.Teams[i]
		p := m.parts[t.Team]
		a := l.accounts[t.Team]
		if a == nil {
			continue // this instance has not applied the limit of the team yet
		}
		g := peerapi.ShareGive{Team: t.Team, Unknown: !l.isComplete}
		l.count(t.Team, a, now)
		target := l.target(t.Team, m, now)
		floor := a.floor()
		give := share{
			move(p.counted.rate, target.rate, a.free.rate-floor.rate), move(p.counted.capacity, target.capacity, a.free.capacity-floor.capacity),
		}
		g.Tokens = a.charge(p, give, now)
		if missing := t.Want - g.Tokens; missing > 0 {
			kept := floor.capacity
			if !l.isComplete {
				kept = 0 // it is all that a new leader has
			}
			given := a.give(p, &give, missing, kept)
			g.Tokens += given
			if given < missing {
				g.RetryMillis = a.retryMillis()
				p.demand += l.demandOf(t.Team) / 2 // a shift of clients shows in what is lacking before it shows in the demand
			}
		}
		g.Rate, g.Capacity = give.rate, give.capacity
		reply.Teams = append(reply.Teams, g)
	}
	return reply
}

// demandOf returns the demand of a team over all members.
func (l *Ledger) demandOf(team string) float64 {
	sum := 0.0
	for _, m := range l.members {
		if p := m.parts[team]; p != nil {
			sum += p.demand
		}
	}
	return sum
}

// move returns the next value of a part: lower if it exceeds the target clearly, higher as far as the pool has it.
func move(counted, target, free float64) float64 {
	switch {
	case counted > lowerAbove*target:
		return target
	case target > counted && free > 0:
		return min(target, counted+free)
	}
	return counted
}

// charge counts what is given to a member. A lower share counts in full until the member confirms it. Tokens that no longer
// fit into the pool go with the capacity; charge returns their number.
func (a *account) charge(p *part, give share, now time.Duration) (tokens int) {
	next := share{max(p.counted.rate, give.rate), max(p.counted.capacity, give.capacity)}
	raised := next.capacity - p.counted.capacity
	a.free.rate -= next.rate - p.counted.rate
	a.free.capacity -= raised
	p.counted = next
	tokens = max(int(min(raised, a.level-a.free.capacity)+epsilon), 0)
	a.level -= float64(tokens)
	a.refill(now)
	return tokens
}

// give moves up to n tokens, each with a unit of capacity, from the pool to the member. The capacity floor stays.
func (a *account) give(p *part, give *share, n int, floor float64) int {
	n = min(n, int(min(a.level, a.free.capacity-floor)+epsilon))
	if n <= 0 {
		return 0
	}
	// The member adds the tokens to a share of counted.capacity at most.
	give.capacity = p.counted.capacity + float64(n)
	p.counted.capacity = give.capacity
	a.free.capacity -= float64(n)
	a.level -= float64(n)
	a.given += float64(n)
	return n
}

// retryMillis returns when the pool expects a token.
func (a *account) retryMillis() int {
	if a.free.rate <= 0 || a.free.capacity < 1 {
		return 1000
	}
	return 1 + int(min(1000, max(0, 1-a.level)/a.free.rate*1000))
}
