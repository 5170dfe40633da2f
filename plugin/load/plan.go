package load

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Kind is the way in which a call may be repeated.
type Kind string

// Kinds of calls.
const (
	KindGet   Kind = "get"
	KindPost  Kind = "post"
	KindKeyed Kind = "keyed"
)

// Plan is one call as decided before it is sent.
type Plan struct {
	ID           string
	Caller       int
	Kind         Kind
	Organisation int
	// At is the arrival, counted from the start of the run.
	At time.Duration
	// Nodes is the order in which nodes are tried, by position.
	Nodes []int
	// DropAfter is when the first answer is given up; 0 keeps it.
	DropAfter time.Duration
}

// source draws the calls of one caller.
type source struct {
	s      *Settings
	run    string
	caller int
	rng    *rand.Rand
	at     time.Duration
	seq    int
}

func newSource(s *Settings, run string, caller int) *source {
	return &source{s: s, run: run, caller: caller, rng: rand.New(rand.NewPCG(s.Seed, uint64(caller)))}
}

// next returns the next call, or false after the duration of the run. Gaps are
// exponential, so that the callers together form a Poisson process.
func (c *source) next() (Plan, bool) {
	gap := c.rng.ExpFloat64() * float64(c.s.Callers) / c.s.Rate
	c.at += time.Duration(gap * float64(time.Second))
	if c.at >= c.s.Duration.D() {
		return Plan{}, false
	}
	c.seq++
	p := Plan{ID: fmt.Sprintf("%s-%d-%d", c.run, c.caller, c.seq), Caller: c.caller, At: c.at}
	p.Kind = c.kind()
	p.Organisation = c.organisation()
	p.Nodes = c.nodes(c.s.Organisations[p.Organisation])
	if p.Kind == KindKeyed && c.rng.Float64()*100 < c.s.DropPercent {
		p.DropAfter = 1 + time.Duration(c.rng.Int64N(int64(c.s.DropWithin)+1))
	}
	return p, true
}

func (c *source) kind() Kind {
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

func (c *source) organisation() int {
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

// nodes returns a random order of up to Repeats+1 nodes.
func (c *source) nodes(o Organisation) []int {
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
