package outbound

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/celeryyard/celeryyard/core/httpcall"
	"github.com/celeryyard/celeryyard/core/resource"
	"github.com/celeryyard/celeryyard/kernel/rank"
)

// Values of a fleet whose settings state no shared budget.
const (
	budgetLeast  = 10
	budgetWindow = 10 * time.Second
)

// table holds what this node knows of the endpoints and the retry budgets.
type table struct {
	zone string
	// node is the name of this node.
	node    string
	current func() *resource.Snapshot

	// mu guards the fields below.
	mu      *rank.Mutex
	rng     *rand.Rand
	sets    map[string]*set
	budgets map[string]*budget
	// splits holds the state of the routes that divide their requests.
	splits map[string]*split
	// routes is the table that ranks was worked out from.
	routes *resource.RouteTable
	// ranks holds the priority of the least urgent route of each service.
	ranks map[string]int
	// nodes is the number of nodes in the fleet as far as known.
	nodes int
	// way is the smoothed time that calls spend on the way to other nodes and back.
	way time.Duration
	// allowance is that of the whole fleet; a Ratio of 0 leaves it to the cluster.
	allowance Allowance
	// shared tells that allowance.Least is shared by all nodes of the fleet.
	shared bool
}

func newTable(zone, node string, current func() *resource.Snapshot, rng *rand.Rand) *table {
	return &table{zone: zone, node: node, current: current, mu: rank.New(rank.Balancer), rng: rng, sets: map[string]*set{}, budgets: map[string]*budget{}, splits: map[string]*split{}, nodes: 1, allowance: Allowance{Least: budgetLeast, Window: budgetWindow}}
}

// begin counts a call of the cluster for its retry budget.
func (t *table) begin(c *resource.Cluster, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.budget(c).call(t.allowed(c), now)
}

// allowed is this node's part of the retries of a cluster; mu is held.
func (t *table) allowed(c *resource.Cluster) Allowance {
	a := t.allowance
	if a.Ratio == 0 {
		a.Ratio = float64(c.RetryBudgetPercent) / 100
		return a
	}
	a.Ratio *= budgetMargin
	if t.shared {
		a.Least *= budgetMargin / float64(max(t.nodes, 1))
	}
	return a
}

// retry takes one retry of the cluster's budget.
func (t *table) retry(c *resource.Cluster, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.budget(c).retry(t.allowed(c), now)
}

// part chooses the cluster of a request.
func (t *table) part(r *resource.Route) string {
	if len(r.Split) == 0 {
		return r.Cluster
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.splits[r.Name]
	if s == nil || !slices.Equal(s.shares, r.Split) {
		s = newSplit(r.Split, t.rng.IntN)
		t.splits[r.Name] = s
	}
	return s.next()
}

func (t *table) budget(c *resource.Cluster) *budget {
	b := t.budgets[c.Name]
	if b == nil {
		b = &budget{}
		t.budgets[c.Name] = b
	}
	return b
}

// pick chooses an endpoint and counts the attempt as in flight. The target is a
// copy, since the record of the endpoint may change at any time.
func (t *table) pick(c *resource.Cluster, w wish, now time.Time) (*endpoint, httpcall.Target) {
	w.slow = time.Duration(c.SlowStartMillis) * time.Millisecond
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.set(c.Service, now)
	s.called = now
	return t.chosen(s.pick(now, w, t.rng.IntN))
}

// full notes that a call of the priority found no room at an endpoint.
func (t *table) full(e *endpoint, organisation string, priority int, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e.rejected(organisation, priority, t.zone, now)
}

// leastUrgent reports whether no route of the cluster's service has a lower rank.
func (t *table) leastUrgent(c *resource.Cluster, priority int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return priority >= t.ranks[c.Service]
}

// named counts an attempt at a given endpoint as in flight.
func (t *table) named(service, node string, now time.Time) (*endpoint, httpcall.Target) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range t.set(service, now).list {
		if e.Node == node {
			return t.chosen(e)
		}
	}
	return nil, httpcall.Target{}
}

func (t *table) chosen(e *endpoint) (*endpoint, httpcall.Target) {
	if e == nil {
		return nil, httpcall.Target{}
	}
	e.inflight++
	return e, httpcall.Target{Node: e.Node, Address: e.Address}
}

// set returns the set of a service. A missing one is made from the current
// snapshot, read under the lock: a later snapshot is then applied later.
func (t *table) set(service string, now time.Time) *set {
	s := t.sets[service]
	if s == nil {
		s = &set{zone: t.zone}
		t.sets[service] = s
		if from := t.current().Sets[service]; from != nil {
			s.update(from, now)
		}
	}
	return s
}

// done takes the outcome of an attempt and reports whether it ejected the endpoint.
func (t *table) done(service string, e *endpoint, o Outcome, ejectAfter int, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.set(service, now).done(e, o, ejectAfter, now)
}

// loaded notes a load that an endpoint reported.
func (t *table) loaded(e *endpoint, load float64, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(e.loadAt) < loadTrust {
		load = e.load + loadWeight*(load-e.load)
	}
	e.load, e.loadAt = load, now
}

// measured notes the load that an endpoint reported with a rejection, which is that
// of this moment.
func (t *table) measured(e *endpoint, load float64, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e.load, e.loadAt = load, now
}

// local reports whether the endpoint is in the zone of this node.
func (t *table) local(e *endpoint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return e.AvailabilityZone == t.zone
}

// leastLoaded returns the endpoint with the least expected duration among those that
// had no free slot, counted as in flight; nil when none of them can take the call.
func (t *table) leastLoaded(busy []*endpoint, now time.Time) (*endpoint, httpcall.Target) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var best *endpoint
	for _, e := range busy {
		if e.State != resource.StateReady || e.avoided(now) {
			continue
		}
		if best == nil || e.score(now, 0) < best.score(now, 0) {
			best = e
		}
	}
	return t.chosen(best)
}

// took notes the relative duration of a call.
func (t *table) took(e *endpoint, relative float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e.took(relative)
}

// apply takes over a new snapshot. Snapshots are applied in their order.
func (t *table) apply(s *resource.Snapshot, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, known := range t.sets {
		if from := s.Sets[name]; from != nil {
			known.update(from, now)
		} else {
			delete(t.sets, name)
		}
	}
	t.nodes = 0
	for _, set := range s.Sets {
		t.nodes += len(set.Endpoints)
	}
	if s.Table != t.routes {
		t.routes, t.ranks = s.Table, ranksOf(s)
	}
	for name := range t.splits {
		if r := s.Routes[name]; r == nil || len(r.Split) == 0 {
			delete(t.splits, name)
		}
	}
	for name := range t.budgets {
		if s.Clusters[name] == nil {
			delete(t.budgets, name)
		}
	}
}

// ranksOf returns the priority of the least urgent route of each service.
func ranksOf(s *resource.Snapshot) map[string]int {
	ranks := map[string]int{}
	note := func(cluster string, priority int) {
		if c := s.Clusters[cluster]; c != nil {
			ranks[c.Service] = max(ranks[c.Service], priority)
		}
	}
	for _, r := range s.Routes {
		note(r.Cluster, r.Priority)
		for _, p := range r.Split {
			note(p.Cluster, r.Priority)
		}
	}
	return ranks
}
