package resource

import (
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// Guards against reports that make an upstream available again although they were sent before it
// closed, and against new starts that stay closed.
func TestClosureCoversEarlierReportsOnly(t *testing.T) {
	start := func(id string, at int64, n uint64) UpstreamStart { return UpstreamStart{id, at, n} }
	draining, left := Closure{Start: start("a", 5, 7)}, Closure{Start: start("a", 5, 7), Final: true}
	for _, tc := range []struct {
		name    string
		c       Closure
		u       UpstreamStart
		covered bool
	}{
		{"report before the drain", draining, start("a", 5, 6), true},
		{"report of the drain", draining, start("a", 5, 7), true},
		{"report after the drain", draining, start("a", 5, 8), true},
		{"report with a higher number after the end", left, start("a", 5, 9), true},
		{"earlier start", left, start("a", 4, 9), true},
		{"earlier start, drain", draining, start("a", 4, 9), true},
		{"new start with the same ID", left, start("a", 6, 1), false},
		{"other upstream", left, start("b", 5, 1), false},
		{"nothing is closed", Closure{}, start("a", 5, 1), false},
		{"upstream without ID", Closure{}, start("", 0, 0), false},
	} {
		if got := tc.c.Covers(tc.u); got != tc.covered {
			t.Errorf("%s: covered %v", tc.name, got)
		}
	}
}

// Guards against instances that disagree about a closure after they have heard of it in different
// orders, and against a closure that is forgotten because of an earlier one.
func TestClosuresJoinInAnyOrder(t *testing.T) {
	closures := gen.SliceOfN(3, gopter.CombineGens(gen.OneConstOf("", "a", "b"), gen.Int64Range(0, 2), gen.UInt64Range(0, 2), gen.Bool()).Map(func(v []any) Closure {
		if v[0] == "" {
			return Closure{}
		}
		return Closure{Start: UpstreamStart{v[0].(string), v[1].(int64), v[2].(uint64)}, Final: v[3].(bool)}
	}))
	params := gopter.DefaultTestParametersWithSeed(60)
	params.MinSuccessfulTests = 2000
	props := gopter.NewProperties(params)
	props.Property("join is commutative, associative and idempotent", prop.ForAllNoShrink(func(c []Closure) bool {
		x, y, z := c[0], c[1], c[2]
		return x.Join(y) == y.Join(x) && x.Join(y).Join(z) == x.Join(y.Join(z)) && x.Join(x) == x
	}, closures))
	props.Property("a join covers what the closure of the latest start covers", prop.ForAllNoShrink(func(c []Closure) bool {
		x, y := c[0], c[1]
		joined := x.Join(y)
		for _, o := range []Closure{x, y} {
			if o.Start.ID == joined.Start.ID && o.Start.StartedAtMillis == joined.Start.StartedAtMillis && o.Covers(o.Start) && !joined.Covers(o.Start) {
				return false
			}
		}
		return true
	}, closures))
	props.TestingRun(t)
}
