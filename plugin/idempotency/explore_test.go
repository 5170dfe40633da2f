package idempotency

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"

	"github.com/celeryyard/celeryyard/core/httpcall"
	"github.com/celeryyard/celeryyard/core/resource"
	"github.com/celeryyard/celeryyard/kernel/clock"
	"github.com/celeryyard/celeryyard/kernel/event"
	"github.com/celeryyard/celeryyard/kernel/pool"
)

var (
	exploreSteps  = flag.Int("explore.steps", 5, "steps of the schedules that TestKeysOverAllOrders plays exhaustively")
	exploreFactor = flag.Int("explore.factor", 1, "multiplies the schedules that TestKeysOverAllOrders draws at random")
)

// chooser makes the choices of one schedule: those of prefix first, then random ones, or always 0 if rng is nil.
type chooser struct {
	prefix, taken, widths []int
	rng                   *rand.Rand
}

func (c *chooser) choose(n int) int {
	v := 0
	switch i := len(c.taken); {
	case i < len(c.prefix):
		v = c.prefix[i]
	case c.rng != nil:
		v = c.rng.IntN(n)
	}
	c.taken, c.widths = append(c.taken, v), append(c.widths, n)
	return v
}

// next returns the prefix of the next schedule in depth-first order; ok is false after the last one.
func (c *chooser) next() (prefix []int, ok bool) {
	for i := len(c.taken) - 1; i >= 0; i-- {
		if c.taken[i]+1 < c.widths[i] {
			return append(append([]int{}, c.taken[:i]...), c.taken[i]+1), true
		}
	}
	return nil, false
}

// exploredView is the view of one process.
type exploredView struct{ current *resource.Snapshot }

func (v *exploredView) Current() *resource.Snapshot    { return v.current }
func (v *exploredView) Apply(resource.Update) error    { return nil }
func (v *exploredView) Watch(func(*resource.Snapshot)) {}

// exploration is three holders and one key, with all that is under way between them. Its steps happen one at a time.
type exploration struct {
	*chooser
	id    string
	nodes [3]*Idempotency
	views [3]*exploredView
	ready [3]bool
	since [3]int64
	// queues holds the background jobs of each node by key, which run in order. late holds messages whose sender has
	// given up, and jobs that wait for a timer; they happen in any order.
	queues map[string][]func()
	keys   []string
	late   []func()
	// waiting holds the nodes at which a claimed call waits for a slot.
	waiting []int
	runs    int
	// faults and changes are the messages that may still be lost and the changes of readiness that may still happen.
	faults, changes int
}

type exploredTimer struct{}

func (exploredTimer) Stop() bool { return true }

// exploredClock makes its timers late jobs.
type exploredClock struct {
	clock.System
	x *exploration
}

func (c exploredClock) AfterFunc(_ time.Duration, f func()) clock.Timer {
	c.x.late = append(c.x.late, f)
	return exploredTimer{}
}

func newExploration(c *chooser) *exploration {
	x := &exploration{chooser: c, id: httpcall.ClaimID("o", "svc", "k"), queues: map[string][]func(){}, faults: 2, changes: 2}
	for i := range x.nodes {
		p := newUnstarted()
		p.c.Instance.Name, p.c.Clock, p.c.Log = fmt.Sprintf("n%d", i), exploredClock{x: x}, event.Nop()
		p.s = &Settings{Keep: 1 << 40, CopyTimeout: 1 << 40, MessageTimeout: 1 << 40}
		p.boot, p.replicas = uint64(i+1), map[string][]httpcall.Target{}
		p.messagesSent, p.repeats = &metrics.Counter{}, &metrics.Counter{}
		p.post = func(_ context.Context, to httpcall.Target, m *message, _ time.Time) (*reply, error) {
			return x.post(to, m)
		}
		p.submit = func(j *pool.Job) error {
			key := fmt.Sprintf("%d %s", i, j.Key)
			if len(x.queues[key]) == 0 {
				x.keys = append(x.keys, key)
			}
			x.queues[key] = append(x.queues[key], j.Run)
			return nil
		}
		p.started.Store(true)
		x.views[i] = &exploredView{}
		p.view = x.views[i]
		x.nodes[i], x.ready[i] = p, true
	}
	x.publish()
	for i, p := range x.nodes {
		// The nodes joined long ago.
		p.joinStates["svc"] = joinState{incarnation: uint64(i + 1), seenAt: time.Now().Add(-time.Hour * 1000)}
	}
	return x
}

var errLost = errors.New("message lost")

// post delivers a message, or loses it or its answer, or delivers it after its sender has given up.
func (x *exploration) post(to httpcall.Target, m *message) (*reply, error) {
	target := x.nodes[to.Node[1]-'0']
	copied := *m
	copied.Records = append([]Record(nil), m.Records...)
	outcome := 0
	if x.faults > 0 {
		if outcome = x.choose(4); outcome > 0 {
			x.faults--
		}
	}
	switch outcome {
	case 1:
		return nil, errLost
	case 2:
		target.handleMessage(&copied, time.Now())
		return nil, errLost
	case 3:
		x.late = append(x.late, func() { target.handleMessage(&copied, time.Now()) })
		return nil, errLost
	}
	return target.handleMessage(&copied, time.Now()), nil
}

// publish gives all nodes a snapshot with the readiness of the endpoints.
func (x *exploration) publish() {
	set := &resource.EndpointSet{Service: "svc"}
	for i, ready := range x.ready {
		e := resource.Endpoint{Node: fmt.Sprintf("n%d", i), Service: "svc", Address: fmt.Sprintf("10.0.0.%d:1", i), Incarnation: uint64(i + 1), ReadySince: x.since[i], State: resource.StateReady}
		if !ready {
			e.State = resource.StateStarting
		}
		set.Endpoints = append(set.Endpoints, e)
	}
	s := &resource.Snapshot{Sets: map[string]*resource.EndpointSet{"svc": set}}
	for i, p := range x.nodes {
		x.views[i].current = s
		p.handleSnapshot(s)
	}
}

// call sends the call to the primary holder of its key.
func (x *exploration) call() Result {
	set := x.views[0].current.Sets["svc"]
	primary, backup := httpcall.SelectHolders(set, x.id)
	if primary == nil {
		return ""
	}
	c := Claim{ID: x.id, Hash: "h", Deadline: time.Now().Add(time.Hour * 100)}
	if backup != nil {
		c.Backup = httpcall.Target{Node: backup.Node, Address: backup.Address}
	}
	at := int(primary.Node[1] - '0')
	result, _, err := x.nodes[at].Begin(context.Background(), c)
	if err == nil && result == ResultNew {
		x.waiting = append(x.waiting, at)
	}
	return result
}

// end runs or rejects the call that has waited longest.
func (x *exploration) end(run bool) {
	at := x.waiting[0]
	x.waiting = x.waiting[1:]
	if !run {
		x.nodes[at].Release(x.id)
		return
	}
	x.runs++
	x.nodes[at].Finish(x.id, StateAnswered, &Answer{Status: 200})
}

// background runs the i-th of the jobs that may run now.
func (x *exploration) background(i int) {
	if i >= len(x.keys) {
		i -= len(x.keys)
		f := x.late[i]
		x.late = append(append([]func(){}, x.late[:i]...), x.late[i+1:]...)
		f()
		return
	}
	key := x.keys[i]
	f := x.queues[key][0]
	x.queues[key] = x.queues[key][1:]
	x.keys = append(append([]string{}, x.keys[:i]...), x.keys[i+1:]...)
	if len(x.queues[key]) > 0 {
		x.keys = append(x.keys, key)
	}
	f()
}

// change makes a ready endpoint leave or another one return. Claims are copied before the next change: they survive the loss of
// one of their two holders.
func (x *exploration) change(i int) {
	x.changes--
	x.ready[i] = !x.ready[i]
	x.since[i]++
	x.publish()
}

// step makes one step. The steps are: a call, the end of a waiting call, a background job, a change of the endpoints.
func (x *exploration) step() {
	n := 1 + len(x.keys) + len(x.late)
	if len(x.waiting) > 0 {
		n += 2
	}
	mayChange := x.changes > 0 && len(x.keys)+len(x.late) == 0
	if mayChange {
		n += len(x.nodes)
	}
	k := x.choose(n)
	switch {
	case k == 0:
		x.call()
		return
	case k <= len(x.keys)+len(x.late):
		x.background(k - 1)
		return
	}
	k -= 1 + len(x.keys) + len(x.late)
	if len(x.waiting) > 0 {
		if k < 2 {
			x.end(k == 0)
			return
		}
		k -= 2
	}
	x.change(k)
}

// run plays a schedule of the given number of steps and then lets everything settle. It returns a violation, or "".
func (x *exploration) run(steps int) string {
	for range steps {
		x.step()
		if x.runs > 1 {
			return fmt.Sprintf("the key ran %d times", x.runs)
		}
	}
	x.faults, x.changes = 0, 0
	for len(x.waiting) > 0 {
		x.end(false)
	}
	for i := 0; len(x.keys)+len(x.late) > 0; i++ {
		if i > 1000 {
			return "background jobs do not end"
		}
		x.background(0)
	}
	if x.ready == [3]bool{} {
		return ""
	}
	result := x.call()
	switch {
	case x.runs == 0 && result != ResultNew:
		return fmt.Sprintf("the key is refused (%q) although its call never ran", result)
	case x.runs == 1 && result == ResultNew:
		return "the key would run again"
	}
	return ""
}

// Guards against keys that run twice, and against keys that are refused for good although their call never ran, over
// the orders of calls, rejections, executions, lost and late messages, copies and changes of the endpoints: all short ones,
// and many longer ones at random.
func TestKeysOverAllOrders(t *testing.T) {
	const longSteps, longSchedules = 16, 6_000
	c := &chooser{}
	schedules := 0
	for ok := true; ok; schedules++ {
		c = &chooser{prefix: c.prefix}
		if msg := newExploration(c).run(*exploreSteps); msg != "" {
			t.Fatalf("choices %v: %s", c.taken, msg)
		}
		c.prefix, ok = c.next()
	}
	t.Logf("%d schedules of %d steps", schedules, *exploreSteps)
	for seed := range longSchedules * *exploreFactor {
		c := &chooser{rng: rand.New(rand.NewPCG(uint64(seed), 33))}
		if msg := newExploration(c).run(longSteps); msg != "" {
			t.Fatalf("seed %d, choices %v: %s", seed, c.taken, msg)
		}
	}
	t.Logf("%d random schedules of %d steps", longSchedules**exploreFactor, longSteps)
}
