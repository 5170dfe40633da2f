package e2e

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/celeryyard/celeryyard/core/layout"
	"github.com/celeryyard/celeryyard/plugin/load"
	"github.com/celeryyard/celeryyard/test/harness"
)

// recovery bounds how long a fleet may take to recover from a failure: an
// election (2 s), an instance's start, and the 3 s in which a change is in force.
const recovery = 15 * time.Second

// fleet is a small fleet with three zones, a control instance and two nodes in
// each, whose nodes' versions are observed.
type fleet struct {
	*harness.Fleet
	t        *testing.T
	o        *harness.Observer
	revision uint64
	changes  int
}

func startFleet(t *testing.T, links bool) *fleet {
	t.Helper()
	services := []layout.Service{
		{Name: "catalogo", Organisation: "tacto-norte", Endpoints: 3, Slots: 9},
		{Name: "order-desk", Organisation: "kranjc", Endpoints: 3, Slots: 9},
	}
	f := &fleet{t: t, Fleet: harness.NewFleet(t, layout.Spec{Zones: demoZones(), Services: services, Voters: 3, Seed: 1}, links, 0)}
	f.Start()
	f.Configure()
	f.WaitServing()
	f.o = harness.Observe(f.Nodes)
	t.Cleanup(func() {
		f.o.Stop()
		if list := f.o.Backwards(); len(list) > 0 {
			t.Errorf("I1: nodes went back to an older version: %v", list)
		}
	})
	return f
}

// change makes one accepted change and returns its version.
func (f *fleet) change() uint64 {
	f.t.Helper()
	f.changes++
	id, body := fmt.Sprintf("change-%d", f.changes), layout.Team(f.Plan.Spec.Services[0], 4000+f.changes, nil)
	if f.revision == 0 {
		out, _ := f.Command("tacto-norte", "team", "revise", "--expected-revision", "1000000", f.File("stale.json", body))
		f.revision = harness.Field(out, "revision")
	}
	d := f.Change(id, "tacto-norte", "revise", "catalogo", f.revision, body)
	if d.State != "accepted" {
		f.t.Fatalf("change %s: %+v", id, d)
	}
	f.revision = d.Revision
	return d.Version
}

// converged waits until the given nodes serve at least version.
func (f *fleet) converged(version uint64, nodes []*harness.Process) {
	f.t.Helper()
	harness.Wait(f.t, recovery, fmt.Sprintf("nodes serve version %d", version), func() bool {
		for _, p := range nodes {
			if p.Version() < version {
				return false
			}
		}
		return true
	})
}

// leader returns the position of the leading control instance.
func (f *fleet) leader() int {
	f.t.Helper()
	at := -1
	harness.Wait(f.t, recovery, "a control instance leads", func() bool {
		for i, p := range f.Controls {
			if v, ok := p.Metric("celeryyard_quorum_leader"); ok && v == 1 && p.Running() {
				at = i
				return true
			}
		}
		return false
	})
	return at
}

// zone returns the nodes of a zone, or those outside it.
func (f *fleet) zone(name string, inside bool) []*harness.Process {
	var list []*harness.Process
	for i, p := range f.Plan.Nodes {
		if (p.Zone == name) == inside {
			list = append(list, f.Nodes[i])
		}
	}
	return list
}

// Guards against a partitioned zone that stops serving, accepts changes on its
// own, moves a restarted node back, or does not catch up.
func TestPartitionedZoneServesAndNeverGoesBack(t *testing.T) {
	f := startFleet(t, true)
	const zone = "gorenjska-a"
	before := f.change()
	f.converged(before, f.Nodes)
	f.Partition(zone)
	after := f.change()
	f.converged(after, f.zone(zone, false))
	for i, p := range f.Plan.Nodes {
		if p.Zone == zone && !harness.Answers(p.Callers, f.Plan.Spec.Services[0].Host()) {
			t.Errorf("partitioned node %s does not serve", f.Nodes[i].Name)
		}
	}
	f.isolatedAcceptsNothing(2)
	restarted := f.zone(zone, true)[0]
	restarted.Stop()
	restarted.Start()
	// The instance of the zone holds what its nodes served last, so it may admit.
	harness.Wait(t, recovery, "the restarted node serves again", func() bool { return restarted.Version() >= before })
	f.Heal(zone)
	f.converged(after, f.Nodes)
}

// Guards against a restarted node that is moved back by a stale instance: the
// zone's nodes got a newer version elsewhere while their instance was down, and
// the instance comes back partitioned, with an older version on its disk.
func TestStaleInstanceMovesNoRestartedNodeBack(t *testing.T) {
	f := startFleet(t, true)
	const zone = "gorenjska-a"
	stale := f.change()
	f.converged(stale, f.Nodes)
	f.Controls[2].Kill()
	newer := f.change()
	f.converged(newer, f.Nodes)
	f.Partition(zone)
	f.Controls[2].Start()
	nodes := f.zone(zone, true)
	harness.Wait(t, recovery, "the zone's nodes are attached to their stale instance", func() bool {
		n, ok := f.Controls[2].Metric("celeryyard_distribution_sessions")
		return ok && int(n) == len(nodes)
	})
	nodes[0].Kill()
	nodes[0].Start()
	for end := time.Now().Add(4 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if v := nodes[0].Version(); v != 0 && v < newer {
			t.Fatalf("the restarted node serves version %d, it had served %d", v, newer)
		}
	}
	if nodes[0].Ready() {
		t.Error("the restarted node is ready although nobody can give it version", newer)
	}
	f.Heal(zone)
	f.converged(newer, f.Nodes)
}

// isolatedAcceptsNothing sends a change to a partitioned instance only.
func (f *fleet) isolatedAcceptsNothing(control int) {
	f.t.Helper()
	body := f.File("isolated.json", layout.Team(f.Plan.Spec.Services[1], 3999, nil))
	out, code := f.CommandAt(f.Plan.Controls[control].Operators, "kranjc", "--timeout", "3s", "team", "revise", "--expected-revision", "1", body)
	if code == 0 || code == 3 {
		f.t.Errorf("an isolated instance decided a change: exit code %d: %s", code, out)
	}
}

// Guards against an instance that votes or leads with a lost disk, and against a
// second loss right after the first repair that loses accepted changes.
func TestLostDiskAndSecondLoss(t *testing.T) {
	f := startFleet(t, false)
	f.change()
	first := (f.leader() + 1) % 3
	f.loseDisk(first)
	accepted := f.change()
	f.Controls[first].Start()
	f.voters(first)
	f.Controls[(first+1)%3].Kill()
	second := f.change()
	if second <= accepted {
		t.Fatalf("version %d after %d", second, accepted)
	}
	f.converged(second, f.Nodes)
}

func (f *fleet) loseDisk(control int) {
	f.t.Helper()
	f.Controls[control].Kill()
	folder := f.Plan.Controls[control].Settings["instance"].(map[string]any)["data_folder"].(string)
	if err := os.RemoveAll(folder); err != nil {
		f.t.Fatal(err)
	}
	if err := os.MkdirAll(folder, 0o700); err != nil {
		f.t.Fatal(err)
	}
}

// voters waits until the instance is a voter again.
func (f *fleet) voters(control int) {
	f.t.Helper()
	harness.Wait(f.t, 2*recovery, "the repaired instance is a voter again", func() bool {
		v, ok := f.Controls[control].Metric("celeryyard_quorum_voter")
		return ok && v == 1 && f.Controls[control].Ready()
	})
}

// Guards against a frozen leader that goes on leading when it wakes up.
func TestFrozenLeader(t *testing.T) {
	f := startFleet(t, false)
	f.change()
	frozen := f.leader()
	f.Controls[frozen].Freeze()
	during := f.change()
	f.Controls[frozen].Thaw()
	after := f.change()
	if after != during+1 {
		t.Fatalf("version %d after %d", after, during)
	}
	f.converged(after, f.Nodes)
}

// Guards against nodes that stop serving, or changes that are lost, when all
// control instances die together and come back while nodes reconnect in a storm.
func TestAllControlInstancesDie(t *testing.T) {
	f := startFleet(t, false)
	before := f.change()
	f.converged(before, f.Nodes)
	for _, p := range f.Controls {
		p.Kill()
	}
	for i, p := range f.Plan.Nodes {
		for _, s := range f.Plan.Spec.Services {
			if !harness.Answers(p.Callers, s.Host()) {
				t.Errorf("node %s does not serve %s without control instances", f.Nodes[i].Name, s.Name)
			}
		}
	}
	for _, p := range f.Controls {
		p.Start()
	}
	harness.WaitReady(t, recovery, f.Controls...)
	after := f.change()
	if after != before+1 {
		t.Fatalf("version %d after %d", after, before)
	}
	f.converged(after, f.Nodes)
}

// Guards against a planned stop that cuts a call or lets one run twice: all
// upstreams and their nodes are restarted one after another under load.
func TestRollingRestartFailsNoCall(t *testing.T) {
	f := startFleet(t, false)
	// A fleet answers as soon as one upstream of each service is ready. If that one
	// is the first to be stopped, its service has none until the others are.
	for _, n := range f.Nodes {
		f.takesCalls(n)
	}
	done := make(chan *load.Result, 1)
	callers := f.Plan.Nodes[0].Callers // the first node is not restarted, since callers talk to it
	go func() {
		defer close(done)
		r, _ := f.Load("rolling", map[string]any{
			"nodes": []string{callers}, "reports": f.Reports(), "organisations": f.Sources(),
			"rate": 100, "duration": "30s", "seed": 1, "run": "rolling",
		})
		done <- r
	}()
	for i := 1; i < len(f.Nodes); i++ {
		f.Upstreams[i].Stop()
		f.Nodes[i].Stop()
		f.Nodes[i].Start()
		f.Upstreams[i].Start()
		harness.WaitReady(t, recovery, f.Nodes[i])
		// As an operator does: the next one is stopped when this one takes calls again.
		began := time.Now()
		f.takesCalls(f.Nodes[i])
		t.Logf("%s: upstream ready %v after its node", f.Nodes[i].Name, time.Since(began).Round(time.Millisecond))
	}
	r := <-done
	if r == nil {
		t.Fatal("the load run has no result")
	}
	if r.Succeeded != r.Calls {
		t.Errorf("I8: %d of %d calls failed: %v", r.Calls-r.Succeeded, r.Calls, r.Outcomes)
	}
	if len(r.Duplicates) > 0 {
		t.Errorf("I6: duplicates: %v", r.Duplicates)
	}
}

// takesCalls waits until the node has announced its upstream as ready.
func (f *fleet) takesCalls(n *harness.Process) {
	f.t.Helper()
	harness.Wait(f.t, recovery, "upstream is announced as ready", func() bool {
		v, ok := n.Metric("celeryyard_announce_ready")
		return ok && v == 1
	})
}

// Guards against an upstream that outlives its node's planned stop and, by
// announcing itself again, gets the ending node new calls.
func TestStoppingNodeTakesNoAnnouncement(t *testing.T) {
	f := startFleet(t, false)
	const at = 1
	plan := f.Plan.Nodes[at]
	url := "http://" + plan.Settings["announce"].(map[string]any)["listen"].(string) + "/v1/upstream"
	upstream := f.Plan.Upstreams[at].Settings["standin"].(map[string]any)["listen"].(string)
	body := fmt.Sprintf(`{"service": %q, "address": %q, "slots": 9}`, plan.Service, upstream)
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		f.Nodes[at].Stop()
	}()
	refused := 0
	for running := true; running; time.Sleep(5 * time.Millisecond) {
		select {
		case <-stopped:
			running = false
		default:
		}
		req, err := http.NewRequest(http.MethodPut, url, strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set("Content-Type", "application/json")
		res, err := http.DefaultClient.Do(req)
		if err != nil {
			continue // the node has ended
		}
		_ = res.Body.Close()
		if res.StatusCode == http.StatusConflict {
			refused++
		} else if refused > 0 {
			t.Fatalf("announcement answered with status %d after the stop began", res.StatusCode)
		}
	}
	if refused == 0 {
		t.Fatal("no announcement met the planned stop")
	}
}
