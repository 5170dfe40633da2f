package outbound

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/celeryyard/celeryyard/core/httpcall"
	"github.com/celeryyard/celeryyard/core/resource"
	"github.com/celeryyard/celeryyard/kernel/rank"
	"github.com/celeryyard/celeryyard/plugin/rollouts/versions"
)

// Defaults of the retry allowance.
const (
	defaultMinRetries  = 10
	defaultRetryWindow = 10 * time.Second
)

// table holds this node's state of endpoints, retry budgets and route splits.
type table struct {
	zone string
	// nodeName is the name of this node.
	nodeName        string
	currentSnapshot func() *resource.Snapshot

	// mu guards the fields below.
	mu        *rank.Mutex
	rng       *rand.Rand
	balancers map[string]*balancer
	budgets   map[string]*retryBudget
	// splits holds the state of the routes that distribute requests over several clusters.
	splits map[string]*weightedSplit
	// routeTable is the route table that lowestPriority was computed from.
	routeTable *resource.RouteTable
	// lowestPriority holds, by service, the highest priority number of its routes, which is the
	// least urgent priority.
	lowestPriority map[string]int
	// endpointCount is the number of endpoints in the snapshot. It serves as an estimate of the
	// number of nodes in the fleet.
	endpointCount int
	// meanRTT is the moving average of the network round-trip time to other nodes.
	meanRTT time.Duration
	// allowance is the retry allowance. If its Ratio is 0, the cluster's retry percentage replaces
	// the Ratio.
	allowance Allowance
	// versions holds the rules of roll-outs by service, and rulesIndex identifies them.
	versions   map[string]*versions.Rule
	rulesIndex uint64
	// minIsShared means that MinRetries of the allowance is the number for the whole fleet, of which
	// each node uses an equal part.
	minIsShared bool
}

func newTable(zone, node string, currentSnapshot func() *resource.Snapshot, rng *rand.Rand) *table {
	return &table{zone: zone, nodeName: node, currentSnapshot: currentSnapshot, mu: rank.NewMutex(rank.Balancer), rng: rng, balancers: map[string]*balancer{}, budgets: map[string]*retryBudget{}, splits: map[string]*weightedSplit{}, endpointCount: 1, allowance: Allowance{MinRetries: defaultMinRetries, Window: defaultRetryWindow}}
}

// draw returns a random number from 0 to 1.
func (t *table) draw() float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.rng.Float64()
}

// countCall records a call to the cluster in the cluster's retry budget.
func (t *table) countCall(c *resource.Cluster, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.budgetFor(c).addCall(t.allowanceFor(c), now)
}

// countRepeatedCall records a call to the cluster that is made by the repeat of a request: it counts as a
// retry.
func (t *table) countRepeatedCall(c *resource.Cluster, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.budgetFor(c).addRetry(t.allowanceFor(c), now)
}

// hasRetryRoom reports whether the retry budget of the named cluster permits one more retry; true if the
// cluster does not exist any more.
func (t *table) hasRetryRoom(cluster string, now time.Time) bool {
	s := t.currentSnapshot()
	if s == nil || s.Clusters[cluster] == nil {
		return true
	}
	c := s.Clusters[cluster]
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.budgetFor(c).hasRoom(t.allowanceFor(c), now)
}

// allowanceFor returns this node's retry allowance for a cluster. The caller holds mu.
func (t *table) allowanceFor(c *resource.Cluster) Allowance {
	a := t.allowance
	if a.Ratio == 0 {
		a.Ratio = float64(c.RetryBudgetPercent) / 100
		return a
	}
	a.Ratio *= budgetUseFraction
	if t.minIsShared {
		a.MinRetries *= budgetUseFraction / float64(max(t.endpointCount, 1))
	}
	return a
}

// takeRetry reports whether the cluster's budget permits one more retry, and counts the retry if so.
func (t *table) takeRetry(c *resource.Cluster, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.budgetFor(c).takeRetry(t.allowanceFor(c), now)
}

// chooseCluster returns the name of the cluster that serves the next request of the route.
func (t *table) chooseCluster(r *resource.Route) string {
	if len(r.Split) == 0 {
		return r.Cluster
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.splits[r.Name]
	if s == nil || !slices.Equal(s.shares, r.Split) {
		s = newWeightedSplit(r.Split, t.rng.IntN)
		t.splits[r.Name] = s
	}
	return s.next()
}

// budgetFor returns the retry budget of a cluster and creates it on first use. The caller holds mu.
func (t *table) budgetFor(c *resource.Cluster) *retryBudget {
	b := t.budgets[c.Name]
	if b == nil {
		b = &retryBudget{}
		t.budgets[c.Name] = b
	}
	return b
}

// pick selects an endpoint and counts the attempt as in flight. The target is a copy, since
// the record of the endpoint may change at any time.
func (t *table) pick(c *resource.Cluster, opts pickOptions, now time.Time) (*endpoint, httpcall.Target) {
	opts.slowStart = time.Duration(c.SlowStartMillis) * time.Millisecond
	t.mu.Lock()
	defer t.mu.Unlock()
	b := t.balancerFor(c.Service, now)
	b.lastCall = now
	if v := t.ruleFor(c.Service); v != nil {
		return t.startAttempt(t.pickVersioned(v, b, opts, now))
	}
	return t.startAttempt(b.pick(now, opts, t.rng.IntN))
}

// markFull records that an endpoint rejected a call of the organisation and priority for lack of
// capacity.
func (t *table) markFull(e *endpoint, organisation string, priority int, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e.markFull(organisation, priority, t.zone, now)
}

// isLeastUrgent reports whether no route of the cluster's service is less urgent than the
// priority.
func (t *table) isLeastUrgent(c *resource.Cluster, priority int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return priority >= t.lowestPriority[c.Service]
}

// pickByNode returns the service's endpoint on the given node and counts the attempt as in flight.
// It returns nil if the service has no endpoint there.
func (t *table) pickByNode(service, node string, now time.Time) (*endpoint, httpcall.Target) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range t.balancerFor(service, now).endpoints {
		if e.Node == node {
			return t.startAttempt(e)
		}
	}
	return nil, httpcall.Target{}
}

// startAttempt counts an attempt at e as in flight and returns its target; e may be nil. The caller
// holds mu.
func (t *table) startAttempt(e *endpoint) (*endpoint, httpcall.Target) {
	if e == nil {
		return nil, httpcall.Target{}
	}
	e.inflight++
	return e, httpcall.Target{Node: e.Node, Address: e.Address}
}

// balancerFor returns the balancer of a service. A missing one is created from the current
// snapshot. The snapshot is read under mu: if a newer one were applied between reading it and
// creating the balancer, the balancer would miss it. The caller holds mu.
func (t *table) balancerFor(service string, now time.Time) *balancer {
	b := t.balancers[service]
	if b == nil {
		b = &balancer{zone: t.zone}
		t.balancers[service] = b
		if from := t.currentSnapshot().Sets[service]; from != nil {
			b.updateEndpoints(from, now)
		}
	}
	return b
}

// recordOutcome records the outcome of an attempt and reports whether the outcome ejected the
// endpoint.
func (t *table) recordOutcome(service string, e *endpoint, o Outcome, ejectAfter int, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.balancerFor(service, now).recordOutcome(e, o, ejectAfter, now)
}

// observeLoad adds a load that an endpoint reported to its moving average.
func (t *table) observeLoad(e *endpoint, load float64, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(e.loadAt) < loadMaxAge {
		load = e.load + loadSmoothingFactor*(load-e.load)
	}
	e.load, e.loadAt = load, now
}

// setLoad sets the load that an endpoint reported with a rejection. It replaces the moving average,
// since the rejection shows that the endpoint is at this load now.
func (t *table) setLoad(e *endpoint, load float64, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e.load, e.loadAt = load, now
}

// isLocal reports whether the endpoint is in the zone of this node.
func (t *table) isLocal(e *endpoint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return e.AvailabilityZone == t.zone
}

// pickLeastLoaded selects the endpoint with the lowest score among the busy ones, which rejected the
// call for lack of a free slot, and counts the attempt as in flight. It returns nil if none of them
// is available.
func (t *table) pickLeastLoaded(busy []*endpoint, now time.Time) (*endpoint, httpcall.Target) {
	return t.pickEarliest(busy, &pickOptions{}, now)
}

// pickEarliest is pickLeastLoaded with the estimate that the options of the call select.
func (t *table) pickEarliest(busy []*endpoint, opts *pickOptions, now time.Time) (*endpoint, httpcall.Target) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var best *endpoint
	least := 0.0
	for _, e := range busy {
		if e.State != resource.StateReady || e.isAvoided(now) || !t.isUsable(e.Service, e) {
			continue
		}
		if v := e.estimate(now, opts); best == nil || v < least {
			best, least = e, v
		}
	}
	return t.startAttempt(best)
}

// observeDuration records the duration of a call, divided by the mean of its route.
func (t *table) observeDuration(e *endpoint, relative float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e.observeDuration(relative)
}

// applySnapshot applies a new snapshot. The caller applies snapshots in order of their versions.
func (t *table) applySnapshot(s *resource.Snapshot, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, b := range t.balancers {
		if from := s.Sets[name]; from != nil {
			b.updateEndpoints(from, now)
		} else {
			delete(t.balancers, name)
		}
	}
	t.endpointCount = 0
	for _, set := range s.Sets {
		t.endpointCount += len(set.Endpoints)
	}
	if s.Table != t.routeTable {
		t.routeTable, t.lowestPriority = s.Table, lowestPriorities(s)
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

// lowestPriorities returns, by service, the highest priority number of its routes, which is the
// least urgent priority.
func lowestPriorities(s *resource.Snapshot) map[string]int {
	lowest := map[string]int{}
	add := func(cluster string, priority int) {
		if c := s.Clusters[cluster]; c != nil {
			lowest[c.Service] = max(lowest[c.Service], priority)
		}
	}
	for _, r := range s.Routes {
		add(r.Cluster, r.Priority)
		for _, p := range r.Split {
			add(p.Cluster, r.Priority)
		}
	}
	return lowest
}
