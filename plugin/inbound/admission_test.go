package inbound

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/celeryyard/celeryyard/kernel/pool"
)

// sim runs calls through the queue discipline in simulated time.
type sim struct {
	a             *Admission
	now           time.Time
	durations     map[string]time.Duration
	endTimes      map[*pool.Job]time.Time
	arrivalTimes  map[*pool.Job]time.Time
	waits         map[string][]time.Duration
	finishedCalls map[string]int
	refusedCalls  map[string]int
	startedLate   int
}

func newSim(slots int, durations map[string]time.Duration) *sim {
	return &sim{
		a: newAdmission(slots, 2*slots, &minRunEstimate{}), now: time.Unix(1_700_000_000, 0), durations: durations,
		endTimes: map[*pool.Job]time.Time{}, arrivalTimes: map[*pool.Job]time.Time{}, waits: map[string][]time.Duration{},
		finishedCalls: map[string]int{}, refusedCalls: map[string]int{},
	}
}

func (s *sim) push(org string, deadline time.Duration) {
	j := &pool.Job{Group: org, Deadline: s.now.Add(deadline)}
	if err := s.a.Push(j, s.now); err != nil {
		s.refusedCalls[org]++
		return
	}
	s.arrivalTimes[j] = s.now
}

// step advances the time, ends the calls that are due and starts those that may start.
func (s *sim) step(d time.Duration) {
	s.now = s.now.Add(d)
	for j, end := range s.endTimes {
		if !s.now.Before(end) {
			delete(s.endTimes, j)
			s.a.Done(j, s.now)
			s.finishedCalls[j.Group]++
		}
	}
	for {
		j, _ := s.a.Pop(s.now)
		if j == nil {
			return
		}
		if !s.now.Before(j.Deadline) {
			s.startedLate++
		}
		s.waits[j.Group] = append(s.waits[j.Group], s.now.Sub(s.arrivalTimes[j]))
		s.endTimes[j] = s.now.Add(s.durations[j.Group])
	}
}

// Guards against a flood of calls of one organisation that takes the slots of another organisation
// or delays the other's calls.
func TestFloodPreservesShareAndLatency(t *testing.T) {
	durations := map[string]time.Duration{"north": 10 * time.Millisecond, "south": 10 * time.Millisecond}
	s := newSim(9, durations)
	for i := range 20000 { // 20 s; the flood is four times the capacity
		for range 4 {
			s.push("north", 500*time.Millisecond)
		}
		if i%12 == 0 { // a tenth of the capacity
			s.push("south", 500*time.Millisecond)
		}
		s.step(time.Millisecond)
	}
	longest := time.Duration(0)
	for _, w := range s.waits["south"] {
		longest = max(longest, w)
	}
	if s.refusedCalls["south"] > 0 || longest > 2*time.Millisecond {
		t.Errorf("south: %d refused, longest wait %v", s.refusedCalls["south"], longest)
	}
	// South uses 0.83 slots on average and one more stays free for it.
	if n := s.finishedCalls["north"]; n < 7*100*20 {
		t.Errorf("north finished %d calls, although it may always borrow 7 of 9 slots", n)
	}
	// If both flood, each gets half of the service time, although north's calls are longer. With
	// one slot, only the round robin ensures this.
	durations["north"] = 40 * time.Millisecond
	for _, slots := range []int{1, 8} {
		s = newSim(slots, durations)
		for range 20000 {
			s.push("north", time.Second)
			s.push("south", time.Second)
			s.step(time.Millisecond)
		}
		n, m := float64(s.finishedCalls["north"])*0.040, float64(s.finishedCalls["south"])*0.010
		if n/m < 0.9 || n/m > 1.1 {
			t.Errorf("%d slots: slot time north %.1f s, south %.1f s", slots, n, m)
		}
	}
}

// Guards against more running calls than slots, queues above their bound, calls that start
// after their deadline, and calls that are lost in the queue.
func TestAdmissionInvariants(t *testing.T) {
	props := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(3))
	props.Property("slots, bounds, deadlines and completeness", prop.ForAll(func(slots int, seed uint64) bool {
		r := rand.New(rand.NewPCG(seed, 0))
		orgs := []string{"a", "b", "c"}
		s := newSim(slots, map[string]time.Duration{"a": 3 * time.Millisecond, "b": 9 * time.Millisecond, "c": time.Millisecond})
		pushed, dropped := 0, 0
		for range 400 {
			before := s.a.Len()
			s.push(orgs[r.IntN(3)], time.Duration(r.IntN(30))*time.Millisecond)
			pushed += s.a.Len() - before
			dropped += len(s.a.dropLate(s.now))
			s.step(time.Duration(r.IntN(2)) * time.Millisecond)
			if len(s.a.running) > slots || s.a.Len() > 3*2*slots || s.startedLate > 0 {
				return false
			}
		}
		for range 200 {
			dropped += len(s.a.dropLate(s.now))
			s.step(time.Millisecond)
		}
		return s.a.Len() == 0 && len(s.a.running) == 0 && s.finishedCalls["a"]+s.finishedCalls["b"]+s.finishedCalls["c"]+dropped <= pushed
	}, gen.IntRange(1, 9), gen.UInt64()))
	props.TestingRun(t)
}

// Guards against starting calls that cannot end in time, and against an estimate that stays high
// because it refuses all calls from which it could learn.
func TestCallsWithTooLittleTimeDoNotStart(t *testing.T) {
	var e minRunEstimate
	now := time.Unix(1_700_000_000, 0)
	e.observe(50*time.Millisecond, now)
	a := newAdmission(2, 4, &e)
	if err := a.Push(&pool.Job{Group: "a", Deadline: now.Add(20 * time.Millisecond)}, now); err == nil {
		t.Error("a call with 20 ms left was queued although runs take 50 ms")
	}
	j := &pool.Job{Group: "a", Deadline: now.Add(70 * time.Millisecond)}
	if err := a.Push(j, now); err != nil {
		t.Fatal(err)
	}
	if next, dropped := a.Pop(now.Add(30 * time.Millisecond)); next != nil || len(dropped) != 1 {
		t.Errorf("a queued call with 40 ms left was not dropped: %v, %v", next, dropped)
	}
	if err := a.Push(&pool.Job{Group: "a", Deadline: now.Add(5*time.Second + 10*time.Millisecond)}, now.Add(5*time.Second)); err != nil {
		t.Errorf("after 5 s without observations: %v", err)
	}
}

// FuzzParseReport guards against load reports of upstreams that crash the parser or give a
// load outside 0..1.
func FuzzParseReport(f *testing.F) {
	f.Add(`JSON {"application_utilization": 0.5}`)
	f.Add(`JSON {"application_utilization": -1e400}`)
	f.Fuzz(func(t *testing.T, s string) {
		if v, ok := parseReport(s); ok && !(v >= 0 && v <= 1) {
			t.Fatalf("%q gives %v", s, v)
		}
	})
}
