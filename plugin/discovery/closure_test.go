package discovery

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/celeryyard/celeryyard/core/peerapi"
	"github.com/celeryyard/celeryyard/core/resource"
)

// closureAnnouncement is the announcement of node "n" in its given start, whose upstream has sent the
// report u.
func closureAnnouncement(incarnation, revision uint64, state resource.EndpointState, u resource.UpstreamStart, c resource.Closure) resource.Announcement {
	return resource.Announcement{
		Endpoint: resource.Endpoint{Node: "n", Service: "s", Incarnation: incarnation, Revision: revision, State: state}, Upstream: u, Closed: c,
	}
}

// Guards against an upstream that is shown as ready after it has closed, because its node was
// restarted, forgot the closure and announced a report that was sent before it.
func TestClosureOutlivesRestartOfNode(t *testing.T) {
	now := time.Unix(1e9, 0)
	early, late := resource.UpstreamStart{ID: "a", StartedAtMillis: 5, Sequence: 2}, resource.UpstreamStart{ID: "a", StartedAtMillis: 5, Sequence: 4}
	next := resource.UpstreamStart{ID: "a", StartedAtMillis: 9, Sequence: 1}
	for _, tc := range []struct {
		name   string
		closed resource.Closure
		state  resource.EndpointState
		shown  resource.EndpointState // after the restart; "" if the endpoint is not shown
	}{
		{"drain", resource.Closure{Start: late}, resource.StateDraining, resource.StateDraining},
		{"end", resource.Closure{Start: late, Final: true}, resource.StateGone, ""},
	} {
		tab := newTable("control-0", nil)
		shown := func() resource.EndpointState {
			if s := tab.endpointSet("s"); len(s.Endpoints) > 0 {
				return s.Endpoints[0].State
			}
			return ""
		}
		tab.announce(closureAnnouncement(1, 1, resource.StateReady, early, resource.Closure{}), now)
		tab.announce(closureAnnouncement(1, 2, tc.state, late, tc.closed), now)
		tab.announce(closureAnnouncement(2, 1, resource.StateReady, early, resource.Closure{}), now)
		if got := shown(); got != tc.shown {
			t.Errorf("%s: shown as %q after the restart", tc.name, got)
		}
		tab.announce(closureAnnouncement(2, 2, resource.StateReady, next, resource.Closure{}), now)
		if got := shown(); got != resource.StateReady {
			t.Errorf("%s: new start is shown as %q", tc.name, got)
		}
	}
}

// Guards against instances that disagree about a closed upstream, when its node is restarted and
// attaches to an instance that has not heard of the closure, and messages are late, lost or repeated.
func TestClosuresConverge(t *testing.T) {
	params := gopter.DefaultTestParametersWithSeed(61)
	params.MinSuccessfulTests = 1000
	props := gopter.NewProperties(params)
	props.Property("no table shows a closed start as ready", prop.ForAllNoShrink(func(seed uint64) bool {
		rng := rand.New(rand.NewPCG(seed, 0))
		now, names := time.Unix(1e9, 0), []string{"a", "b", "c"}
		tables := map[string]*table{}
		for _, n := range names {
			tables[n] = newTable(n, names)
		}
		seq := uint64(0)
		exchange := func(from, to string) {
			own, others := tables[from].syncRecords(to)
			seq++
			tables[to].applySync(&peerapi.Records{Instance: from, Epoch: 1, Seq: seq, Records: own, Others: others, TableComplete: true}, now)
		}
		start := resource.UpstreamStart{ID: "i", StartedAtMillis: 1}
		var closed resource.Closure
		incarnation, revision := uint64(1), uint64(0)
		for range 40 {
			at := tables[names[rng.IntN(3)]]
			report, stated, state := start, closed, resource.StateReady
			report.Sequence = 1 + rng.Uint64N(5)
			switch rng.IntN(4) {
			case 0: // the node is restarted and has forgotten the closure
				incarnation, revision, stated = incarnation+1, 0, resource.Closure{}
			case 1:
				closed = resource.Closure{Start: report, Final: true}
				stated, state = closed, resource.StateGone
			case 2:
				start.StartedAtMillis++
				report.StartedAtMillis = start.StartedAtMillis
			default:
				exchange(names[rng.IntN(3)], names[rng.IntN(3)])
				continue
			}
			revision++
			at.announce(closureAnnouncement(incarnation, revision, state, report, stated), now)
		}
		for range 3 {
			for _, from := range names {
				for _, to := range names {
					if from != to {
						exchange(from, to)
					}
				}
			}
		}
		first := tables["a"].records["n"]
		for _, n := range names {
			r := tables[n].records["n"]
			switch {
			case (first == nil) != (r == nil):
				return false
			case r == nil:
			case r.Closed != first.Closed || r.Endpoint != first.Endpoint:
				return false
			case closed.Covers(r.Upstream) && r.State() != resource.StateGone:
				return false
			}
		}
		return true
	}, gen.UInt64()))
	props.TestingRun(t)
}

// Guards against an upstream that is shown although the replicated log has its closure: before its record arrives, after it, in
// a record that a restarted node announces, and beside a closure of another upstream of the node; and against a new start that
// stays hidden.
func TestRecordedClosureCountsForEveryRecord(t *testing.T) {
	now := time.Unix(1e9, 0)
	u := resource.UpstreamStart{ID: "a", StartedAtMillis: 5, Sequence: 2}
	final := resource.Closure{Start: resource.UpstreamStart{ID: "a", StartedAtMillis: 5, Sequence: 4}, Final: true}
	other := resource.Closure{Start: resource.UpstreamStart{ID: "b", StartedAtMillis: 8, Sequence: 1}, Final: true}
	drain := resource.Closure{Start: final.Start}
	for _, tc := range []struct {
		name     string
		recorded []resource.Closure
		own      resource.Closure
		want     resource.EndpointState // "" if the endpoint is not shown
	}{
		{"end", []resource.Closure{final}, resource.Closure{}, ""},
		{"end beside that of another upstream", []resource.Closure{final, other}, other, ""},
		{"drain", []resource.Closure{drain}, resource.Closure{}, resource.StateDraining},
		{"drain and an announced end", []resource.Closure{drain}, final, ""},
		{"other upstream", []resource.Closure{other}, resource.Closure{}, resource.StateReady},
	} {
		for _, recordFirst := range []bool{false, true} {
			tab := newTable("control-0", nil)
			for _, first := range []bool{true, false} {
				if first == recordFirst {
					tab.setClosures("n", tc.recorded, now)
				} else {
					tab.announce(closureAnnouncement(2, 1, resource.StateReady, u, tc.own), now)
				}
			}
			got := resource.EndpointState("")
			if s := tab.endpointSet("s"); len(s.Endpoints) > 0 {
				got = s.Endpoints[0].State
			}
			if got != tc.want || !tab.dirtyServices["s"] {
				t.Errorf("%s, closure first %v: shown as %q, want %q", tc.name, recordFirst, got, tc.want)
			}
			tab.announce(closureAnnouncement(3, 1, resource.StateReady, resource.UpstreamStart{ID: "a", StartedAtMillis: 9, Sequence: 1}, resource.Closure{}), now)
			if s := tab.endpointSet("s"); len(s.Endpoints) != 1 || s.Endpoints[0].State != resource.StateReady {
				t.Errorf("%s: the new start is shown as %+v", tc.name, s.Endpoints)
			}
		}
	}
}
