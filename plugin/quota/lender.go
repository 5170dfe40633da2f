package quota

import (
	"slices"
	"strings"
	"time"

	"github.com/celeryyard/celeryyard/core/peerapi"
)

// lenderOptions are the times by which a lender decides.
type lenderOptions struct {
	// silentAfter is how long after a reply that a node has confirmed the node's offline rates are reserved.
	silentAfter time.Duration
	// lease is how long everything that a node holds is valid.
	lease time.Duration
}

// nodeKey identifies one start of a node.
type nodeKey struct {
	name        string
	incarnation uint64
}

// nodeState is what a lender knows of one start of a node.
type nodeState struct {
	seq uint64
	// heardAt is the time of the last request, contactAt that of the last one whose reply the node has confirmed.
	heardAt, contactAt time.Duration
	// mayLend permits tokens in advance and offline rates: the name of the node is on the disk.
	mayLend bool
}

// lender gives the share of a control instance to nodes. It does no I/O, and is not safe for concurrent use. Times are
// those of a monotonic clock since the start of the process.
type lender struct {
	o           lenderOptions
	instance    string
	incarnation uint64
	buckets     map[string]*bucket
	nodes       map[nodeKey]*nodeState
	// starts holds the nodes of which this instance has heard.
	starts nodeStarts
	// activeAt is the time of the last activity, resumedAt the end of the last pause of this process.
	activeAt, resumedAt time.Duration
}

// Parameters of the detection of pauses. An idle instance is active once a second. After a pause, requests that arrived
// meanwhile are read within staleTime; their nodes have stopped to wait for the replies, and to count them as contact would
// reserve for another lease what these nodes have gone elsewhere for.
const maxIdle, staleTime = 1500 * time.Millisecond, 100 * time.Millisecond

// observe takes note of an activity at now and reports whether a request that is read now may be outdated.
func (l *lender) observe(now time.Duration) (outdated bool) {
	if l.activeAt > 0 && now-l.activeAt > maxIdle {
		l.resumedAt = now
	}
	l.activeAt = now
	return l.resumedAt > 0 && now-l.resumedAt < staleTime
}

func newLender(o lenderOptions, instance string, incarnation uint64) *lender {
	return &lender{o: o, instance: instance, incarnation: incarnation, buckets: map[string]*bucket{}, nodes: map[nodeKey]*nodeState{}, starts: nodeStarts{}}
}

// setLimits replaces the limits in force. Shares of a lowered limit shrink at once, those of a removed one to nothing.
func (l *lender) setLimits(limits map[string]Limit, now time.Duration) {
	for name, limit := range limits {
		b := l.buckets[name]
		if b == nil {
			b = &bucket{holdings: map[nodeKey]*holding{}, at: now}
			l.buckets[name] = b
		}
		l.changeLimit(b, limit, now)
	}
	for name, b := range l.buckets {
		if _, ok := limits[name]; !ok {
			l.changeLimit(b, Limit{}, now)
		}
	}
}

func (l *lender) changeLimit(b *bucket, limit Limit, now time.Duration) {
	b.refill(now, l.o.silentAfter)
	if old := b.limit; old.Rate > 0 {
		b.target.rate *= min(1, limit.Rate/old.Rate)
		b.target.capacity *= min(1, limit.Capacity()/old.Capacity())
	}
	b.limit = limit
	b.settle()
}

// admission is a request of a node that has been accepted and awaits its reply.
type admission struct {
	key     nodeKey
	request *peerapi.QuotaTakeRequest
	reply   *peerapi.QuotaTakeReply
	// granted holds the tokens granted so far, by position in request.Teams.
	granted []int
}

// accept applies what a request states and grants the wanted tokens that the buckets hold. If reply is set in the result,
// it is complete. Otherwise complete returns the reply; lacks tells whether a report to the leader may bring more tokens.
// accept returns nil for a request that is older than another one of the node.
func (l *lender) accept(node string, r *peerapi.QuotaTakeRequest, now time.Duration) (a *admission, lacks bool) {
	key := nodeKey{node, r.Incarnation}
	l.starts.observe(key, time.Duration(max(r.AgeMillis, 0))*time.Millisecond, now)
	reply := l.newReply()
	a = &admission{key: key, request: r, granted: make([]int, len(r.Teams))}
	n := l.nodes[key]
	reply.Outdated = l.observe(now)
	switch {
	case reply.Outdated:
	case n != nil && r.Seq <= n.seq:
		return nil, false
	case r.Instance != l.instance || r.InstanceIncarnation != l.incarnation:
		reply.Rebind = true
	case n != nil && now-n.heardAt > l.o.lease, n == nil && r.HoldsAnything():
		l.forget(key)
		reply.Forget = true
	}
	if reply.Rebind || reply.Forget || reply.Outdated {
		a.reply = reply
		return a, false
	}
	if n == nil {
		l.forgetEarlier(key)
		n = &nodeState{contactAt: now}
		l.nodes[key] = n
	} else if r.Applied == n.seq {
		n.contactAt = n.heardAt
	}
	// The buckets are filled with the silence of the node up to now, before its contact counts.
	n.seq, n.heardAt = r.Seq, now
	if r.Full {
		l.dropUnnamed(key, r)
	}
	for i := range r.Teams {
		lacks = l.acceptTeam(a, i, n, now) || lacks
	}
	return a, lacks
}

func (l *lender) newReply() *peerapi.QuotaTakeReply {
	return &peerapi.QuotaTakeReply{
		Instance: l.instance, Incarnation: l.incarnation,
		LeaseMillis: int(l.o.lease.Milliseconds()), SilentMillis: int(l.o.silentAfter.Milliseconds()),
	}
}

// dropUnnamed forgets what the node held for teams that the request does not name.
func (l *lender) dropUnnamed(key nodeKey, r *peerapi.QuotaTakeRequest) {
	named := make(map[string]bool, len(r.Teams))
	for i := range r.Teams {
		named[r.Teams[i].Team] = true
	}
	for name, b := range l.buckets {
		if h := b.holdings[key]; h != nil && !named[name] {
			b.setTokens(h, 0)
			delete(b.holdings, key)
		}
	}
}

// acceptTeam applies what a request states of a team and grants the wanted tokens. It reports whether the leader is to be
// asked for more.
func (l *lender) acceptTeam(a *admission, i int, n *nodeState, now time.Duration) (lacks bool) {
	m := &a.request.Teams[i]
	b := l.buckets[m.Team]
	if b == nil {
		return false
	}
	b.refill(now, l.o.silentAfter)
	h := b.holdings[a.key]
	if h == nil {
		h = &holding{node: n}
		b.holdings[a.key] = h
	}
	held := max(m.Held, 0)
	returned := max(min(m.Returned, h.tokens-held), 0)
	b.setTokens(h, held)
	b.level += float64(returned)
	b.countAdmitted(-returned)
	b.clamp()
	h.offline, h.demand, h.need = max(m.Rate, 0), max(m.Demand, 0), max(m.Need, 0)
	if m.Want > 0 || m.Demand > 0 {
		b.activeAt = now
	}
	a.granted[i] = b.take(h, m.Want)
	if missing := m.Want - a.granted[i]; missing > 0 && now >= b.dryUntil {
		b.want += missing
		if b.askedAt == 0 {
			b.askedAt = now
		}
		return true
	}
	return false
}

// complete returns the reply to an accepted request. reachable states whether the leader has answered lately.
func (l *lender) complete(a *admission, reachable bool, now time.Duration) *peerapi.QuotaTakeReply {
	if a.reply != nil {
		return a.reply
	}
	a.reply = l.newReply()
	n := l.nodes[a.key]
	if n == nil || n.seq != a.request.Seq {
		a.reply.Forget = true // a later request has replaced this one
		return a.reply
	}
	for i := range a.request.Teams {
		m := &a.request.Teams[i]
		g := peerapi.TeamGrant{Team: m.Team}
		b := l.buckets[m.Team]
		var h *holding
		if b != nil {
			h = b.holdings[a.key]
		}
		if h == nil {
			g.Unknown = true // this instance does not know the team yet
			a.reply.Teams = append(a.reply.Teams, g)
			continue
		}
		b.refill(now, l.o.silentAfter)
		g.Tokens = a.granted[i] + b.take(h, m.Want-a.granted[i])
		if g.Tokens < m.Want {
			g.RetryMillis = int(b.retryAfter().Milliseconds()) + 1
			g.Pending = b.askedAt > 0 && now-b.askedAt < answerTime
			g.PaceMillis = int(b.pace(h).Milliseconds())
			g.Unknown = b.own.rate <= 0 && (!b.isDecided || !reachable && b.held.rate <= 0)
		}
		if n.mayLend {
			if g.Tokens += b.take(h, min(m.Stock, b.spare())); g.Tokens == 0 && b.held.capacity > b.target.capacity {
				g.Tokens = -b.recall(h)
			}
			g.Rate = b.lend(h)
		}
		if h.tokens == 0 && h.offline == 0 && h.demand == 0 {
			delete(b.holdings, a.key)
		}
		a.reply.Teams = append(a.reply.Teams, g)
	}
	l.takeBack(a)
	return a.reply
}

// takeBack adds to a reply what the node is to give back of teams that the request does not name, because their shares are
// to shrink: a share stays as high as what nodes hold of it.
func (l *lender) takeBack(a *admission) {
	for name, b := range l.buckets {
		h := b.holdings[a.key]
		if h == nil || b.held.rate <= b.target.rate && b.held.capacity <= b.target.capacity || a.names(name) {
			continue
		}
		g := peerapi.TeamGrant{Team: name, Rate: b.lend(h), Tokens: -b.recall(h)}
		if g.Rate < h.offline || g.Tokens < 0 {
			a.reply.Teams = append(a.reply.Teams, g)
		}
	}
}

// names reports whether the request names a team.
func (a *admission) names(team string) bool {
	return slices.ContainsFunc(a.request.Teams, func(m peerapi.TeamTake) bool { return m.Team == team })
}

// forget drops a node whose leases have ended.
func (l *lender) forget(key nodeKey) {
	delete(l.nodes, key)
	for _, b := range l.buckets {
		if h := b.holdings[key]; h != nil {
			b.setTokens(h, 0)
			delete(b.holdings, key)
		}
	}
}

// forgetEarlier drops the earlier starts of a node that was started again: its process has ended.
func (l *lender) forgetEarlier(key nodeKey) {
	for other := range l.nodes {
		if other.name == key.name && other.incarnation < key.incarnation {
			l.forget(other)
		}
	}
}

// answerTime is how long the leader's answer to a request for tokens is expected.
const answerTime = 100 * time.Millisecond

// leaseMargin is added to the time for which a node is remembered: its clock may be slower by a thousandth.
const leaseMargin = 100 * time.Millisecond

// sweep forgets nodes whose leases have ended and settles all buckets.
func (l *lender) sweep(now time.Duration) {
	l.observe(now)
	for key, n := range l.nodes {
		if now-n.heardAt > l.o.lease+leaseMargin {
			l.forget(key)
		}
	}
	for name, b := range l.buckets {
		b.refill(now, l.o.silentAfter)
		b.settle()
		if b.limit.Rate <= 0 && b.held == (share{}) && b.reported == (share{}) && len(b.holdings) == 0 {
			delete(l.buckets, name)
		}
	}
}

// sortedNames returns the names of the buckets in ascending order, so that decisions do not depend on the order of a map.
func (l *lender) sortedNames() []string {
	names := make([]string, 0, len(l.buckets))
	for name := range l.buckets {
		names = append(names, name)
	}
	slices.SortFunc(names, strings.Compare)
	return names
}
