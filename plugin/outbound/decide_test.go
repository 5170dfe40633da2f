package outbound

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/celeryyard/celeryyard/core/httpcall"
	"github.com/celeryyard/celeryyard/core/resource"
	"github.com/celeryyard/celeryyard/core/verdict"
)

// testSpillLoad is the load above which calls leave the zone in these tests.
const testSpillLoad = 1.1

var start = time.Unix(1_700_000_000, 0)

func newEndpointSet(n int, change func(i int, e *resource.Endpoint)) *resource.EndpointSet {
	s := &resource.EndpointSet{Service: "svc"}
	for i := range n {
		e := resource.Endpoint{
			Node: fmt.Sprintf("n%d", i), Address: fmt.Sprintf("127.0.0.1:%d", i+1), Incarnation: 1,
			AvailabilityZone: "z1", Slots: 9, State: resource.StateReady, ReadySince: 1,
		}
		if change != nil {
			change(i, &e)
		}
		s.Endpoints = append(s.Endpoints, e)
	}
	return s
}

// Guards against a node that ejects a whole set because its own network fails, and against in-flight
// counts that differ from the number of attempts in progress.
func TestEjectionIsBounded(t *testing.T) {
	params := gopter.DefaultTestParametersWithSeed(2)
	props := gopter.NewProperties(params)
	props.Property("at most half of the endpoints are ejected and one is always found", prop.ForAll(func(n int, outcomes []int) bool {
		s := &balancer{zone: "z1"}
		r := rand.New(rand.NewPCG(1, uint64(n)))
		now := start
		for _, o := range outcomes {
			now = now.Add(time.Duration(o) * time.Millisecond)
			s.updateEndpoints(newEndpointSet(n, nil), now)
			e := s.pick(now, pickOptions{spillLoad: testSpillLoad}, r.IntN)
			if e == nil {
				return false
			}
			e.inflight++
			s.recordOutcome(e, Outcome(o%6), 1+o%3, now)
			ejected := 0
			for _, e := range s.endpoints {
				if e.inflight != 0 {
					return false
				}
				if now.Before(e.ejectedUntil) {
					ejected++
				}
			}
			if 2*ejected > n {
				return false
			}
		}
		return true
	}, gen.IntRange(1, 12), gen.SliceOfN(200, gen.IntRange(0, 50))))
	props.TestingRun(t)
}

// Guards against calls that keep going to an endpoint that refuses connections.
func TestRefusedConnectionEjectsAtOnce(t *testing.T) {
	s := &balancer{zone: "z1"}
	s.updateEndpoints(newEndpointSet(4, nil), start)
	e := s.endpoints[0]
	e.inflight++
	if !s.recordOutcome(e, OutcomeRefused, 5, start) {
		t.Fatal("a refused connection did not eject")
	}
	r := rand.New(rand.NewPCG(1, 1))
	for range 200 {
		if got := s.pick(start, pickOptions{spillLoad: testSpillLoad}, r.IntN); got == e {
			t.Fatal("the ejected endpoint was picked")
		}
	}
}

// Guards against calls that leave the zone needlessly or stay in it when it is clearly
// busier, and against calls to endpoints that are draining, starting or stale.
func TestPickOrder(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	countPicks := func(s *balancer, want func(e *endpoint) bool) (n int) {
		for range 1000 {
			if e := s.pick(start, pickOptions{spillLoad: testSpillLoad}, r.IntN); e != nil && want(e) {
				n++
			}
		}
		return n
	}
	s := &balancer{zone: "z1"}
	s.updateEndpoints(newEndpointSet(6, func(i int, e *resource.Endpoint) {
		if i >= 3 {
			e.AvailabilityZone = "z2"
		}
	}), start)
	local := func(e *endpoint) bool { return e.AvailabilityZone == "z1" }
	if n := countPicks(s, local); n != 1000 {
		t.Fatalf("idle: %d of 1000 calls stay in the zone", n)
	}
	for _, e := range s.endpoints[:3] {
		e.inflight = 9
	}
	if n := countPicks(s, local); n != 0 {
		t.Fatalf("busy: %d of 1000 calls stay in the zone", n)
	}
	s.updateEndpoints(newEndpointSet(4, func(i int, e *resource.Endpoint) {
		e.Incarnation = 2
		e.State = []resource.EndpointState{resource.StateReady, resource.StateDraining, resource.StateStarting, resource.StateReady}[i]
		e.Stale = i == 3
	}), start)
	if n := countPicks(s, func(e *endpoint) bool { return e.Node == "n0" }); n != 1000 {
		t.Fatalf("%d of 1000 calls go to the only ready endpoint", n)
	}
	if e := s.pick(start, pickOptions{tried: s.endpoints[:1], spillLoad: testSpillLoad}, r.IntN); e != s.endpoints[3] {
		t.Fatalf("with the ready endpoint tried, %v was picked, want the stale one", e)
	}
}

// Guards against a new endpoint that gets its full share of calls at once, and against clock
// skew that keeps its weight low.
func TestSlowStart(t *testing.T) {
	s := &balancer{zone: "z1"}
	s.updateEndpoints(newEndpointSet(2, func(i int, e *resource.Endpoint) {
		if i == 1 {
			e.ReadySince = start.Add(time.Hour).UnixMilli() // the clock of its node is ahead
		}
	}), start)
	cold := s.endpoints[1]
	for _, tc := range []struct {
		age         time.Duration
		least, most float64
	}{{0, 0.1, 0.1}, {5 * time.Second, 0.49, 0.51}, {10 * time.Second, 1, 1}} {
		if w := cold.slowStartWeight(start.Add(tc.age), 10*time.Second); w < tc.least || w > tc.most {
			t.Errorf("after %v the weight of the new endpoint is %v", tc.age, w)
		}
	}
	r := rand.New(rand.NewPCG(1, 1))
	got := 0
	for range 100 { // ten calls in flight at a time
		for range 10 {
			s.pick(start, pickOptions{spillLoad: testSpillLoad, slowStart: 10 * time.Second}, r.IntN).inflight++
		}
		got += cold.inflight
		s.endpoints[0].inflight, cold.inflight = 0, 0
	}
	if got > 200 {
		t.Errorf("the new endpoint got %d of 1000 calls", got)
	}
}

// Guards against idle connections that stay open to endpoints that are draining or gone, and against
// connections that are closed although only another service changed.
func TestConnectionsOfLeavingEndpoints(t *testing.T) {
	before := map[string]*resource.EndpointSet{"svc": newEndpointSet(4, nil), "other": newEndpointSet(9, nil)}
	after := map[string]*resource.EndpointSet{"other": before["other"], "svc": newEndpointSet(3, func(i int, e *resource.Endpoint) {
		e.State = []resource.EndpointState{resource.StateReady, resource.StateDraining, resource.StateStarting}[i]
	})}
	got := leavingAddresses(before, after)
	if len(got) != 2 || !got["127.0.0.1:2"] || !got["127.0.0.1:4"] {
		t.Fatalf("connections to %v are closed, want those to the draining endpoint and the missing one", got)
	}
}

// Guards against retries that multiply the load of an overloaded cluster.
func TestRetryBudget(t *testing.T) {
	var b retryBudget
	a := Allowance{Ratio: 0.2, MinRetries: defaultMinRetries, Window: defaultRetryWindow}
	retries := 0
	for i := range 1000 {
		now := start.Add(time.Duration(i) * time.Millisecond)
		b.addCall(a, now)
		for b.takeRetry(a, now) {
			retries++
		}
	}
	if retries < 190 || retries > 200+defaultMinRetries+2 {
		t.Fatalf("%d retries for 1000 calls at 20 percent", retries)
	}
}

// Guards against retries that exceed the allowance in some sliding window, as happens with a
// token bucket that fills up during a quiet period.
func TestRetryBudgetHoldsInEveryWindow(t *testing.T) {
	params := gopter.DefaultTestParametersWithSeed(3)
	props := gopter.NewProperties(params)
	props.Property("no window that ends with a retry contains more retries than permitted", prop.ForAllNoShrink(func(gaps []int) bool {
		var b retryBudget
		a := Allowance{Ratio: 0.2, MinRetries: 4, Window: 10 * time.Second}
		now := start
		var calls, retries []time.Time
		for _, gap := range gaps {
			now = now.Add(time.Duration(gap) * time.Millisecond)
			b.addCall(a, now)
			calls = append(calls, now)
			for b.takeRetry(a, now) {
				retries = append(retries, now)
				if float64(countAfter(retries, now.Add(-a.Window))) > a.MinRetries+a.Ratio*float64(countAfter(calls, now.Add(-a.Window*11/10))) {
					return false
				}
			}
		}
		return true
	}, gen.SliceOfN(300, gen.IntRange(0, 400))))
	props.TestingRun(t)
}

func countAfter(times []time.Time, from time.Time) (n int) {
	for _, t := range times {
		if t.After(from) {
			n++
		}
	}
	return n
}

// Guards against a split whose request counts drift from the weights.
func TestSplitKeepsItsWeights(t *testing.T) {
	s := newWeightedSplit([]resource.WeightedCluster{{Cluster: "a", Weight: 90}, {Cluster: "b", Weight: 10}}, rand.New(rand.NewPCG(1, 1)).IntN)
	n := 0
	for range 1000 {
		if s.next() == "b" {
			n++
		}
	}
	if n != 100 {
		t.Fatalf("%d of 1000 requests go to a cluster with a weight of 10 percent", n)
	}
}

// Guards against retries of calls that may have run, of calls whose caller has gone, and of
// calls whose body can no longer be sent.
func TestRetryRules(t *testing.T) {
	f := func(k httpcall.Kind, v verdict.Verdict, reason string) *httpcall.Failure {
		f := httpcall.NewFailure(k, v, errNoEndpoint)
		f.Reason = reason
		return f
	}
	cut, refused := f(httpcall.KindCut, verdict.MayHaveRun, ""), f(httpcall.KindUnreachable, verdict.NotRun, "")
	for i, tc := range []struct {
		f          *httpcall.Failure
		idem, body bool
		attempts   int
		want       bool
	}{
		{cut, false, true, 1, false}, {cut, true, true, 1, true}, {cut, true, false, 1, false}, {cut, true, true, 3, false},
		{refused, false, true, 1, true}, {refused, false, false, 1, false}, {refused, false, true, 3, false},
		{f(httpcall.KindRejected, verdict.NotRun, httpcall.ReasonQueueFull), false, true, 1, true},
		{f(httpcall.KindRejected, verdict.NotRun, httpcall.ReasonExpired), false, true, 1, false},
		{f(httpcall.KindTimeout, verdict.NotRun, ""), true, true, 1, false},
		{f(httpcall.KindCancelled, verdict.MayHaveRun, ""), true, true, 1, false},
	} {
		if got := mayRetry(tc.f, tc.idem, tc.body, tc.attempts, 3); got != tc.want {
			t.Errorf("case %d: retry after %v is %v", i, tc.f, got)
		}
	}
	for method, want := range map[string]bool{"GET": true, "HEAD": true, "OPTIONS": true, "PUT": false, "DELETE": false, "POST": false} {
		if isIdempotent(method, false) != want || !isIdempotent(method, true) {
			t.Errorf("method %s is classified wrongly", method)
		}
	}
}

// Guards against offers to endpoints that have just rejected a call for lack of capacity, and
// against urgent calls being blocked by rejections of less urgent ones.
func TestFullEndpointsAreNotPicked(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	s := &balancer{zone: "z1"}
	s.updateEndpoints(newEndpointSet(2, func(i int, e *resource.Endpoint) { e.AvailabilityZone = []string{"z1", "z2"}[i] }), start)
	for _, e := range s.endpoints {
		e.markFull("", 2, s.zone, start)
	}
	if e := s.pick(start, pickOptions{priority: 2, spillLoad: testSpillLoad}, r.IntN); e != nil {
		t.Fatalf("%s was picked although it is full", e.Node)
	}
	if e := s.pick(start, pickOptions{priority: 1, spillLoad: testSpillLoad}, r.IntN); e == nil {
		t.Fatal("a more urgent call found no endpoint")
	}
	if e := s.pick(start, pickOptions{organisation: "other", priority: 2, spillLoad: testSpillLoad}, r.IntN); e == nil {
		t.Fatal("a call of another organisation found no endpoint")
	}
	if e := s.pick(start.Add(fullPauseLocal), pickOptions{priority: 2, spillLoad: testSpillLoad}, r.IntN); e != s.endpoints[0] {
		t.Fatalf("after the local pause %v was picked", e)
	}
}

// Guards against sending calls with many bytes to other zones while other calls would free
// more slot time per byte.
func TestCallsWithFewBytesLeaveZoneFirst(t *testing.T) {
	c := routeStats{byRoute: map[string]routeMeans{}}
	for range 50 {
		c.observe("long", 600*time.Millisecond, 2000)
		c.observe("short", 40*time.Millisecond, 700)
		c.observe("large", 200*time.Millisecond, 6000)
	}
	spillLoad := func(route string) float64 {
		var opts pickOptions
		c.setSpillLoad(&opts, route)
		return opts.spillLoad
	}
	long, short, large := spillLoad("long"), spillLoad("short"), spillLoad("large")
	if long >= short || long >= large || long < minSpillLoad || large > maxSpillLoad {
		t.Fatalf("calls leave at a load of %.2f (long), %.2f (short), %.2f (large)", long, short, large)
	}
	if got := spillLoad("unknown"); got != defaultSpillLoad {
		t.Fatalf("an unknown route leaves at a load of %.2f", got)
	}
}
