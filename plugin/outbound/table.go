package outbound

import (
	"math/rand/v2"
	"time"

	"github.com/celeryyard/celeryyard/core/resource"
	"github.com/celeryyard/celeryyard/kernel/rank"
)

// table holds what this node knows of the endpoints and the retry budgets.
type table struct {
	zone string

	// mu guards the fields below.
	mu      *rank.Mutex
	rng     *rand.Rand
	sets    map[string]*set
	budgets map[string]*budget
}

func newTable(zone string, rng *rand.Rand) *table {
	return &table{zone: zone, mu: rank.New(rank.Balancer), rng: rng, sets: map[string]*set{}, budgets: map[string]*budget{}}
}

// begin counts a call of the cluster for its retry budget.
func (t *table) begin(c *resource.Cluster, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.budget(c).call(c.RetryBudgetPercent, now)
}

// retry takes one retry of the cluster's budget.
func (t *table) retry(c *resource.Cluster) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.budget(c).retry()
}

func (t *table) budget(c *resource.Cluster) *budget {
	b := t.budgets[c.Name]
	if b == nil {
		b = &budget{}
		t.budgets[c.Name] = b
	}
	return b
}

// pick chooses an endpoint and counts the attempt as in flight.
func (t *table) pick(c *resource.Cluster, from *resource.EndpointSet, tried []*endpoint, now time.Time) *endpoint {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.set(from, now)
	e := s.pick(now, time.Duration(c.SlowStartMillis)*time.Millisecond, tried, t.rng.IntN)
	if e != nil {
		e.inflight++
	}
	return e
}

// named counts an attempt at a given endpoint as in flight.
func (t *table) named(from *resource.EndpointSet, node string, now time.Time) *endpoint {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range t.set(from, now).list {
		if e.Node == node {
			e.inflight++
			return e
		}
	}
	return nil
}

func (t *table) set(from *resource.EndpointSet, now time.Time) *set {
	s := t.sets[from.Service]
	if s == nil {
		s = &set{zone: t.zone}
		t.sets[from.Service] = s
	}
	s.update(from, now)
	return s
}

// done takes the outcome of an attempt and reports whether it ejected the endpoint.
func (t *table) done(service string, e *endpoint, o Outcome, ejectAfter int, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.sets[service].done(e, o, ejectAfter, now)
}

// loaded notes a load that an endpoint reported.
func (t *table) loaded(e *endpoint, load float64, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e.load, e.loadAt = load, now
}

// prune forgets sets and budgets that the snapshot no longer has.
func (t *table) prune(s *resource.Snapshot) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name := range t.sets {
		if s.Sets[name] == nil {
			delete(t.sets, name)
		}
	}
	for name := range t.budgets {
		if s.Clusters[name] == nil {
			delete(t.budgets, name)
		}
	}
}
