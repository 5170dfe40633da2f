package rollouts

import (
	"math"
	"time"

	"github.com/celeryyard/celeryyard/core/peerapi"
)

const (
	// shareMargin and slackMargin are the parts of the setting's exposure that are spent. The rest is for requests in
	// progress and for counts that are lost with a node.
	shareMargin, slackMargin = 0.85, 0.6
	// firstMargin replaces shareMargin in the first phase, in which a version that is bad at once shows.
	firstMargin = 0.2
	// permitHorizon is the time whose expected requests a permit covers: a report, its way to the leader and back, and the
	// next ping take up to 0.7 s.
	permitHorizon = time.Second
	// reserveStep is the least part of the budget, in requests, that is reserved at a time: each reservation is a log entry.
	reserveStep = 10
	// windowLength is the length of the window that the judge looks at besides the whole roll-out, so that a version that
	// becomes bad late is not hidden by its good start. historyStep is the distance of its samples.
	windowLength, historyStep = 3 * time.Second, 500 * time.Millisecond
	// silentAfter is the time without a report after which a node does not count as in contact.
	silentAfter = 2 * time.Second
)

// nodeAccount is what the leader knows of one node.
type nodeAccount struct {
	incarnation uint64
	report      peerapi.RolloutReport
	receivedAt  time.Time
	// permitted is the highest permit that the node has or was sent.
	permitted uint64
	// requests and ratedAt are those of the last rating; rate is the number of requests per second.
	requests uint64
	ratedAt  time.Time
	rate     float64
}

// sample is the sum of the counts at one time.
type sample struct {
	at     time.Time
	routes map[string]*peerapi.RouteCounts
}

// account is what a leader knows of one roll-out in progress. It is lost with the leader: a new one learns it again from the
// cumulative reports, and treats all that the log has as reserved as spent. It is not safe for concurrent use.
type account struct {
	id    uint64
	nodes map[string]*nodeAccount
	// ended holds the counts of incarnations of nodes that have ended.
	ended map[string]*peerapi.RouteCounts
	// spentBefore is what was reserved when this leader began. given is the sum of the permits that it has added since.
	spentBefore, given uint64
	history            []sample
	// condemned is set once there is evidence against the new version. No permits are given from then on.
	condemned bool
	// instances holds what the control instances reported last.
	instances map[string]instanceState
}

type instanceState struct {
	at      time.Time
	index   uint64
	pending int
}

func newAccount(id, reserved uint64) *account {
	return &account{id: id, nodes: map[string]*nodeAccount{}, ended: map[string]*peerapi.RouteCounts{}, spentBefore: reserved, instances: map[string]instanceState{}}
}

// receive takes a report of a node and returns the account of the node; nil if the report is of an incarnation that has ended.
func (a *account) receive(node string, incarnation uint64, r peerapi.RolloutReport, now time.Time) *nodeAccount {
	n := a.nodes[node]
	switch {
	case n == nil:
	case incarnation < n.incarnation:
		return nil
	case incarnation > n.incarnation:
		addRoutes(a.ended, n.report.Routes)
		n = nil
	}
	if n == nil {
		n = &nodeAccount{incarnation: incarnation}
		a.nodes[node] = n
	}
	n.permitted = max(n.permitted, r.Permitted)
	count := totalRequests(r.Routes)
	if count < totalRequests(n.report.Routes) || r.Sent < n.report.Sent || r.Index < n.report.Index {
		return n // a late report
	}
	n.report, n.receivedAt = r, now
	if age := now.Sub(n.ratedAt); n.ratedAt.IsZero() || age >= historyStep {
		if !n.ratedAt.IsZero() {
			n.rate = float64(count-n.requests) / age.Seconds()
		}
		n.requests, n.ratedAt = count, now
	}
	return n
}

// permit returns the permit of a node. share is that of the phase. available is how much may still be given.
func (a *account) permit(n *nodeAccount, share float64, available uint64) uint64 {
	wanted := n.report.Sent + uint64(math.Ceil(share*n.rate*permitHorizon.Seconds()))
	if wanted > n.permitted {
		more := min(wanted-n.permitted, available)
		n.permitted += more
		a.given += more
	}
	return n.permitted
}

// available returns how much may still be given. reserved is what the log has.
func (a *account) available(reserved uint64) uint64 {
	used := a.spentBefore + a.given
	return reserved - min(used, reserved)
}

// budget returns the highest sum of permits that the counted requests allow in the phase.
func (a *account) budget(p Phase, share, slack float64) uint64 {
	margin := shareMargin
	if p == PhaseCanary {
		margin = firstMargin
	}
	var requests uint64
	for _, r := range a.total() {
		requests += r.Old.Requests + r.New.Requests
	}
	return uint64(margin*share*float64(requests) + slackMargin*slack)
}

// reservation returns what is to be reserved in the log now, or 0 if that is not worth an entry.
func (a *account) reservation(o *Rollout, share, slack float64) uint64 {
	reserved, budget := o.Reserved, a.budget(o.Phase, share, slack)
	if budget < reserved+reserveStep || a.available(reserved) > (budget-reserved)/2+reserveStep {
		return 0
	}
	return budget
}

// total returns the sum of all counts by route.
func (a *account) total() map[string]*peerapi.RouteCounts {
	out := map[string]*peerapi.RouteCounts{}
	for _, r := range a.ended {
		addRoutes(out, []peerapi.RouteCounts{*r})
	}
	for _, n := range a.nodes {
		addRoutes(out, n.report.Routes)
	}
	return out
}

// observe takes a sample and returns the evidence against the new version, in the whole roll-out or in the last seconds.
func (a *account) observe(now time.Time) (bad string, answers, requests uint64) {
	total := a.total()
	for _, r := range total {
		answers += r.New.Requests
		requests += r.Old.Requests + r.New.Requests
	}
	if len(a.history) == 0 || now.Sub(a.history[len(a.history)-1].at) >= historyStep {
		a.history = append(a.history, sample{now, total})
	}
	for len(a.history) > 1 && now.Sub(a.history[1].at) >= windowLength {
		a.history = a.history[1:]
	}
	if bad = judge(total, total); bad == "" {
		bad = judge(difference(total, a.history[0].routes), total)
	}
	return bad, answers, requests
}

// isSettled reports whether all named control instances have applied the rules of the given index, all nodes attached to them
// have confirmed these, and no node in contact runs a request at an old endpoint.
func (a *account) isSettled(instances []string, index uint64, now time.Time) bool {
	for _, name := range instances {
		if s, ok := a.instances[name]; !ok || now.Sub(s.at) > silentAfter || s.index < index || s.pending > 0 {
			return false
		}
	}
	for _, n := range a.nodes {
		if now.Sub(n.receivedAt) <= silentAfter && (n.report.Index < index || n.report.OldRunning > 0) {
			return false
		}
	}
	return true
}

func totalRequests(routes []peerapi.RouteCounts) (n uint64) {
	for i := range routes {
		n += routes[i].Old.Requests + routes[i].New.Requests
	}
	return n
}

func addRoutes(to map[string]*peerapi.RouteCounts, routes []peerapi.RouteCounts) {
	for i := range routes {
		r := &routes[i]
		sum := to[r.Route]
		if sum == nil {
			sum = &peerapi.RouteCounts{Route: r.Route}
			to[r.Route] = sum
		}
		sum.Old.Add(r.Old)
		sum.New.Add(r.New)
	}
}
