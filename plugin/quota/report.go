package quota

import (
	"math"
	"time"

	"github.com/celeryyard/celeryyard/core/peerapi"
)

// reporter is the side of a control instance towards the leader. Like the lender, it does no I/O.
type reporter struct {
	*lender
	seq uint64
	// term is the newest term of which the instance has heard; replies of earlier ones are ignored.
	term uint64
	// isAnswered is set while the last report was answered, isComplete while the leader knew all shares then.
	isAnswered, isComplete bool
	// full makes the next report name all teams.
	full bool
	// leases is what is known of leases of earlier incarnations, stated what the last report stated about them.
	leases earlierLeases
	stated peerapi.EarlierLeases
	// told holds the incarnations of nodes that reports have stated; isSought is set while another instance waits for nodes.
	told     map[string]uint64
	isSought bool
	// hasUsed is set once this incarnation has got more than tokens from the floor of a small team.
	hasUsed bool
	// inFlight is the number of the report that awaits its reply; 0 for none.
	inFlight uint64
}

// lingerTime is how long after the last demand for a team an instance reports it, so that its share can go to others.
const lingerTime = 4 * time.Second

// observeTerm takes note of the term of the replicated log. A new leader is told everything.
func (r *reporter) observeTerm(term uint64) {
	if term > r.term {
		r.term, r.full = term, true
	}
}

// newReporter returns the reporter of a lender whose earlier incarnations may have given leases.
func newReporter(l *lender, leases earlierLeases) reporter {
	return reporter{lender: l, leases: leases, told: map[string]uint64{}}
}

// mustRepeat reports whether the leader is to be told at once that the leases of earlier incarnations have ended.
func (r *reporter) mustRepeat(now time.Duration) bool {
	return r.isAnswered && r.leases.state(now) != r.stated
}

// isActive reports whether a team has had demand lately, or the leader must be told something.
func (r *reporter) isActive(now time.Duration) bool {
	if r.full || r.seq > 0 && r.leases.state(now) != r.stated || r.isUrgent(now) {
		return true
	}
	for _, b := range r.buckets {
		if b.activeAt > 0 && now-b.activeAt < lingerTime || b.mustReport(b.demand(now)) {
			return true
		}
	}
	return false
}

// mustReport reports whether the leader must be told of the bucket.
func (b *bucket) mustReport(demand float64) bool {
	change := math.Abs(demand - b.demandReported)
	return b.want > 0 || b.returned > 0 || b.held != b.reported || b.held.rate > b.target.rate || b.held.capacity > b.target.capacity ||
		change > 0.2*max(demand, b.demandReported)+0.02*b.limit.Rate || (demand == 0) != (b.demandReported == 0)
}

// next returns the next report. The caller must pass its reply, or nil, to apply.
func (r *reporter) next(now time.Duration) *peerapi.QuotaReportRequest {
	r.sweep(now)
	r.seq++
	r.inFlight, r.stated = r.seq, r.leases.state(now)
	m := &peerapi.QuotaReportRequest{Incarnation: r.incarnation, Seq: r.seq, Term: r.term, Full: r.full, Leases: r.stated}
	r.seek(m, now)
	for _, name := range r.sortedNames() {
		b := r.buckets[name]
		if r.isAnswered && b.isDecided {
			b.giveBack()
		}
		demand := b.demand(now)
		if !r.full && !b.mustReport(demand) {
			continue
		}
		m.Teams = append(m.Teams, peerapi.TeamShare{
			Team: name, Rate: b.held.rate, Capacity: b.held.capacity, Demand: demand, Want: b.want, Returned: b.returned,
		})
		b.reported, b.demandReported, b.want, b.returned = b.held, demand, 0, 0
	}
	r.full = false
	return m
}

// dryTime is how long the leader is not asked again after its pool had no token.
const dryTime = 50 * time.Millisecond

// apply applies the reply to the report with the number seq; nil means that it failed. It reports whether the leader has
// decided.
func (r *reporter) apply(seq uint64, reply *peerapi.QuotaReportReply, now time.Duration) bool {
	if seq != r.inFlight {
		return false
	}
	r.inFlight, r.isAnswered = 0, false
	if reply == nil || reply.Term < r.term || reply.NeedFull {
		r.full = true // what the report stated may not have arrived
		if reply != nil {
			r.observeTerm(reply.Term)
		}
		return false
	}
	r.observeTerm(reply.Term)
	r.isAnswered, r.isComplete = true, reply.Complete
	r.found(reply, now)
	for _, b := range r.buckets {
		if b.want == 0 { // otherwise nodes have asked for more since the report
			b.askedAt = 0
		}
	}
	for i := range reply.Teams {
		g := &reply.Teams[i]
		b := r.buckets[g.Team]
		if b == nil {
			continue // the limit was removed meanwhile; the next report shows that nothing is held
		}
		r.hasUsed = r.hasUsed || (g.Rate > 0 || g.Tokens > 0) && (!g.Unknown || b.limit.Rate >= smallRate)
		b.refill(now, r.o.silentAfter)
		b.isDecided = !g.Unknown || g.Rate > 0 || g.Tokens > 0
		b.target = share{max(g.Rate, 0), max(g.Capacity, 0)}
		b.held = share{max(b.held.rate, b.target.rate), max(b.held.capacity, b.target.capacity)}
		b.level += float64(max(g.Tokens, 0))
		b.settle()
		if g.RetryMillis > 0 {
			b.dryUntil = now + dryTime
		}
	}
	return true
}
