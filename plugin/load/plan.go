package load

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Kind is the kind of a call, which decides whether the call may be executed more than once.
type Kind string

// Kinds of calls.
const (
	// KindGet is a GET call, which is idempotent and may be executed more than once.
	KindGet Kind = "get"
	// KindPost is a POST call without an Idempotency-Key. The generator never retries it, and it must
	// be executed at most once.
	KindPost Kind = "post"
	// KindKeyed is a POST call with an Idempotency-Key. The generator retries it, but it must be
	// executed at most once.
	KindKeyed Kind = "keyed"
)

// PlannedCall is one call of a run, planned before it is sent.
type PlannedCall struct {
	ID string
	// Caller is the number of the caller, from 0.
	Caller int
	Kind   Kind
	// Organisation is the position of the call's organisation in Settings.Organisations.
	Organisation int
	// Arrival is the time at which the call is due, counted from the start of the run.
	Arrival time.Duration
	// Nodes lists the positions in Settings.Nodes of the nodes to try, in this order.
	Nodes []int
	// AbandonAfter is the timeout of the first attempt; 0 means Settings.Timeout.
	AbandonAfter time.Duration
}

// callGenerator generates the calls of one caller at random.
type callGenerator struct {
	s      *Settings
	runID  string
	caller int
	rng    *rand.Rand
	// lastArrival is the arrival of the last call, counted from the start of the run.
	lastArrival time.Duration
	// seq is the number of calls generated so far.
	seq int
}

func newCallGenerator(s *Settings, runID string, caller int) *callGenerator {
	return &callGenerator{s: s, runID: runID, caller: caller, rng: rand.New(rand.NewPCG(s.Seed, uint64(caller)))}
}

// next returns the next call, or false if it would arrive after the duration of the run. The gaps
// between calls are exponential, so that the callers together form a Poisson process.
func (c *callGenerator) next() (PlannedCall, bool) {
	gap := c.rng.ExpFloat64() * float64(c.s.Callers) / c.s.Rate
	c.lastArrival += time.Duration(gap * float64(time.Second))
	if c.lastArrival >= c.s.Duration.AsDuration() {
		return PlannedCall{}, false
	}
	c.seq++
	p := PlannedCall{ID: fmt.Sprintf("%s-%d-%d", c.runID, c.caller, c.seq), Caller: c.caller, Arrival: c.lastArrival}
	p.Kind = c.drawKind()
	p.Organisation = c.drawOrganisation()
	p.Nodes = c.drawNodes(c.s.Organisations[p.Organisation])
	if p.Kind == KindKeyed && c.rng.Float64()*100 < c.s.DropPercent {
		p.AbandonAfter = 1 + time.Duration(c.rng.Int64N(int64(c.s.DropWithin)+1))
	}
	return p, true
}

func (c *callGenerator) drawKind() Kind {
	m := c.s.Mix
	at := c.rng.Float64() * (m.Get + m.Post + m.Keyed)
	switch {
	case at < m.Get:
		return KindGet
	case at < m.Get+m.Post:
		return KindPost
	}
	return KindKeyed
}

func (c *callGenerator) drawOrganisation() int {
	var sum float64
	for _, o := range c.s.Organisations {
		sum += o.Weight
	}
	at := c.rng.Float64() * sum
	for i, o := range c.s.Organisations {
		if at < o.Weight {
			return i
		}
		at -= o.Weight
	}
	return len(c.s.Organisations) - 1
}

// drawNodes returns up to Repeats+1 nodes of the organisation in random order.
func (c *callGenerator) drawNodes(o Organisation) []int {
	allowed := o.Nodes
	if len(allowed) == 0 {
		allowed = make([]int, len(c.s.Nodes))
		for i := range allowed {
			allowed[i] = i
		}
	}
	n := min(len(allowed), c.s.Repeats+1)
	order := make([]int, n)
	for i, j := range c.rng.Perm(len(allowed))[:n] {
		order[i] = allowed[j]
	}
	return order
}
