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

// recoveryTimeout is the maximum time in which a fleet must recover from a failure. It includes an
// election (2 s), the start of an instance, and the convergence of a change (3 s).
const recoveryTimeout = 15 * time.Second

// fleet is a small fleet of three zones with one control instance and two nodes each. An observer
// records the versions that the nodes serve.
type fleet struct {
	*harness.Fleet
	t        *testing.T
	observer *harness.VersionObserver
	// revision is the last revision of the team catalogo; 0 until it is known.
	revision uint64
	// changes counts the submitted changes.
	changes int
}

// startFleet returns a running and configured fleet. If withRelays is set, zones can be partitioned.
func startFleet(t *testing.T, withRelays bool) *fleet {
	t.Helper()
	services := []layout.Service{
		{Name: "catalogo", Organisation: "tacto-norte", Endpoints: 3, Slots: 9},
		{Name: "order-desk", Organisation: "kranjc", Endpoints: 3, Slots: 9},
	}
	f := &fleet{t: t, Fleet: harness.NewFleet(t, layout.Spec{Zones: demoZones(), Services: services, Voters: 3, Seed: 1}, withRelays, 0)}
	f.Start()
	f.Configure()
	f.WaitServing()
	f.observer = harness.ObserveVersions(f.Nodes)
	t.Cleanup(func() {
		f.observer.Stop()
		if list := f.observer.VersionDecreases(); len(list) > 0 {
			t.Errorf("I1: nodes reverted to an older version: %v", list)
		}
	})
	return f
}

// makeChange revises the team catalogo and returns the new version. It fails the test if the change
// is not accepted.
func (f *fleet) makeChange() uint64 {
	f.t.Helper()
	f.changes++
	id, body := fmt.Sprintf("change-%d", f.changes), layout.Team(f.Plan.Spec.Services[0], 4000+f.changes, nil)
	if f.revision == 0 {
		out, _ := f.Command("tacto-norte", "team", "revise", "--expected-revision", "1000000", f.WriteJSON("stale.json", body))
		f.revision = harness.NumberField(out, "revision")
	}
	d := f.SubmitChange(id, "tacto-norte", "revise", "catalogo", f.revision, body)
	if d.State != "accepted" {
		f.t.Fatalf("change %s: %+v", id, d)
	}
	f.revision = d.Revision
	return d.Version
}

// waitForVersion waits until the given nodes serve the version or a later one.
func (f *fleet) waitForVersion(version uint64, nodes []*harness.Process) {
	f.t.Helper()
	harness.WaitUntil(f.t, recoveryTimeout, fmt.Sprintf("nodes serve version %d", version), func() bool {
		for _, p := range nodes {
			if p.ServedVersion() < version {
				return false
			}
		}
		return true
	})
}

// waitForLeader waits until a control instance is the leader and returns its index.
func (f *fleet) waitForLeader() int {
	f.t.Helper()
	leader := -1
	harness.WaitUntil(f.t, recoveryTimeout, "a control instance is the leader", func() bool {
		for i, p := range f.Controls {
			if v, ok := p.Metric("celeryyard_quorum_leader"); ok && v == 1 && p.IsRunning() {
				leader = i
				return true
			}
		}
		return false
	})
	return leader
}

// nodesByZone returns the nodes inside a zone, or the nodes outside it.
func (f *fleet) nodesByZone(zone string, inside bool) []*harness.Process {
	var list []*harness.Process
	for i, p := range f.Plan.Nodes {
		if (p.Zone == zone) == inside {
			list = append(list, f.Nodes[i])
		}
	}
	return list
}

// Guards against a partitioned zone whose nodes stop serving calls, whose control instance accepts
// changes by itself or reverts a restarted node to an older version, or which does not catch up after
// the partition.
func TestPartitionedZoneServesAndNeverReverts(t *testing.T) {
	f := startFleet(t, true)
	const zone = "gorenjska-a"
	before := f.makeChange()
	f.waitForVersion(before, f.Nodes)
	f.Partition(zone)
	after := f.makeChange()
	f.waitForVersion(after, f.nodesByZone(zone, false))
	for i, p := range f.Plan.Nodes {
		if p.Zone == zone && !harness.CallSucceeds(p.CallersAddress, f.Plan.Spec.Services[0].Host()) {
			t.Errorf("partitioned node %s does not serve", f.Nodes[i].Name)
		}
	}
	f.assertIsolatedDecidesNothing(2)
	restarted := f.nodesByZone(zone, true)[0]
	restarted.Stop()
	restarted.Start()
	// The control instance of the zone has the last version that the zone's nodes served, so that it
	// may serve the restarted node.
	harness.WaitUntil(t, recoveryTimeout, "the restarted node serves again", func() bool { return restarted.ServedVersion() >= before })
	f.Heal(zone)
	f.waitForVersion(after, f.Nodes)
}

// Guards against a stale control instance that reverts a restarted node to an older version. While
// the control instance of a zone is down, the zone's nodes receive a newer version from the other
// instances. Then the zone is partitioned and its instance restarts with an older version on disk.
func TestStaleInstanceDoesNotRevertRestartedNode(t *testing.T) {
	f := startFleet(t, true)
	const zone = "gorenjska-a"
	stale := f.makeChange()
	f.waitForVersion(stale, f.Nodes)
	f.Controls[2].Kill()
	newer := f.makeChange()
	f.waitForVersion(newer, f.Nodes)
	f.Partition(zone)
	f.Controls[2].Start()
	nodes := f.nodesByZone(zone, true)
	harness.WaitUntil(t, recoveryTimeout, "the nodes of the zone are connected to the stale instance", func() bool {
		n, ok := f.Controls[2].Metric("celeryyard_distribution_sessions")
		return ok && int(n) == len(nodes)
	})
	nodes[0].Kill()
	nodes[0].Start()
	for end := time.Now().Add(4 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if v := nodes[0].ServedVersion(); v != 0 && v < newer {
			t.Fatalf("the restarted node serves version %d after it served version %d", v, newer)
		}
	}
	if nodes[0].IsReady() {
		t.Error("the restarted node is ready although no reachable instance has version", newer)
	}
	f.Heal(zone)
	f.waitForVersion(newer, f.Nodes)
}

// assertIsolatedDecidesNothing sends a change to a partitioned instance, which must not decide it.
func (f *fleet) assertIsolatedDecidesNothing(controlIndex int) {
	f.t.Helper()
	body := f.WriteJSON("isolated.json", layout.Team(f.Plan.Spec.Services[1], 3999, nil))
	out, code := f.CommandAt(f.Plan.Controls[controlIndex].OperatorsAddress, "kranjc", "--timeout", "3s", "team", "revise", "--expected-revision", "1", body)
	if code == 0 || code == 3 {
		f.t.Errorf("an isolated instance decided a change: exit code %d: %s", code, out)
	}
}

// Guards against a control instance that votes or leads after it lost its disk, and against losing
// accepted changes if a second instance fails right after the first one is repaired.
func TestLostDiskAndSecondLoss(t *testing.T) {
	f := startFleet(t, false)
	f.makeChange()
	first := (f.waitForLeader() + 1) % 3
	f.loseDisk(first)
	accepted := f.makeChange()
	f.Controls[first].Start()
	f.waitForVoter(first)
	f.Controls[(first+1)%3].Kill()
	second := f.makeChange()
	if second <= accepted {
		t.Fatalf("version %d after %d", second, accepted)
	}
	f.waitForVersion(second, f.Nodes)
}

// loseDisk kills a control instance and empties its data folder.
func (f *fleet) loseDisk(controlIndex int) {
	f.t.Helper()
	f.Controls[controlIndex].Kill()
	folder := f.Plan.Controls[controlIndex].Settings["instance"].(map[string]any)["data_folder"].(string)
	if err := os.RemoveAll(folder); err != nil {
		f.t.Fatal(err)
	}
	if err := os.MkdirAll(folder, 0o700); err != nil {
		f.t.Fatal(err)
	}
}

// waitForVoter waits until the control instance is ready and a voter again.
func (f *fleet) waitForVoter(controlIndex int) {
	f.t.Helper()
	harness.WaitUntil(f.t, 2*recoveryTimeout, "the repaired instance is a voter again", func() bool {
		v, ok := f.Controls[controlIndex].Metric("celeryyard_quorum_voter")
		return ok && v == 1 && f.Controls[controlIndex].IsReady()
	})
}

// Guards against a frozen leader that continues to act as leader after it resumes.
func TestFrozenLeaderDoesNotLeadAfterItResumes(t *testing.T) {
	f := startFleet(t, false)
	f.makeChange()
	frozen := f.waitForLeader()
	f.Controls[frozen].Freeze()
	during := f.makeChange()
	f.Controls[frozen].Thaw()
	after := f.makeChange()
	if after != during+1 {
		t.Fatalf("version %d after %d", after, during)
	}
	f.waitForVersion(after, f.Nodes)
}

// Guards against nodes that stop serving calls and against lost changes when all control instances
// die at the same time. They restart while all nodes try to reconnect.
func TestAllControlInstancesDie(t *testing.T) {
	f := startFleet(t, false)
	before := f.makeChange()
	f.waitForVersion(before, f.Nodes)
	for _, p := range f.Controls {
		p.Kill()
	}
	for i, p := range f.Plan.Nodes {
		for _, s := range f.Plan.Spec.Services {
			if !harness.CallSucceeds(p.CallersAddress, s.Host()) {
				t.Errorf("node %s does not serve %s without control instances", f.Nodes[i].Name, s.Name)
			}
		}
	}
	for _, p := range f.Controls {
		p.Start()
	}
	harness.WaitReady(t, recoveryTimeout, f.Controls...)
	after := f.makeChange()
	if after != before+1 {
		t.Fatalf("version %d after %d", after, before)
	}
	f.waitForVersion(after, f.Nodes)
}

// Guards against a planned stop that interrupts a call or makes a call run twice. Upstreams and their
// nodes are restarted one after another under load.
func TestRollingRestartFailsNoCall(t *testing.T) {
	f := startFleet(t, false)
	// startFleet returns when one upstream of each service is ready. If that upstream is stopped
	// first, its service has no ready upstream until the others are ready.
	for _, n := range f.Nodes {
		f.waitForReadyUpstream(n)
	}
	loadResult := make(chan *load.Result, 1)
	callers := f.Plan.Nodes[0].CallersAddress // all calls enter at the first node, which is not restarted
	go func() {
		defer close(loadResult) // even if the load tool returns no result
		r, _ := f.RunLoad("rolling", map[string]any{
			"nodes": []string{callers}, "reports": f.ReportAddresses(), "organisations": f.OrganisationLoads(),
			"rate": 100, "duration": "30s", "seed": 1, "run": "rolling",
		})
		loadResult <- r
	}()
	for i := 1; i < len(f.Nodes); i++ {
		f.Upstreams[i].Stop()
		f.Nodes[i].Stop()
		f.Nodes[i].Start()
		f.Upstreams[i].Start()
		harness.WaitReady(t, recoveryTimeout, f.Nodes[i])
		// Like an operator, stop the next node only after this one receives calls again.
		began := time.Now()
		f.waitForReadyUpstream(f.Nodes[i])
		t.Logf("%s: upstream ready %v after its node", f.Nodes[i].Name, time.Since(began).Round(time.Millisecond))
	}
	r := <-loadResult
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

// waitForReadyUpstream waits until the node announces its upstream as ready.
func (f *fleet) waitForReadyUpstream(n *harness.Process) {
	f.t.Helper()
	harness.WaitUntil(f.t, recoveryTimeout, "the upstream is announced as ready", func() bool {
		v, ok := n.Metric("celeryyard_announce_ready")
		return ok && v == 1
	})
}

// Guards against an upstream that announces itself again during the planned stop of its node, so
// that the stopping node receives new calls.
func TestStoppingNodeRejectsAnnouncements(t *testing.T) {
	f := startFleet(t, false)
	const nodeIndex = 1
	plan := f.Plan.Nodes[nodeIndex]
	url := "http://" + plan.Settings["announce"].(map[string]any)["listen"].(string) + "/v1/upstream"
	upstream := f.Plan.Upstreams[nodeIndex].Settings["standin"].(map[string]any)["listen"].(string)
	body := fmt.Sprintf(`{"service": %q, "address": %q, "slots": 9}`, plan.Service, upstream)
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		f.Nodes[nodeIndex].Stop()
	}()
	rejected := 0
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
			continue // the node has exited
		}
		_ = res.Body.Close()
		if res.StatusCode == http.StatusConflict {
			rejected++
		} else if rejected > 0 {
			t.Fatalf("announcement answered with status %d after the stop began", res.StatusCode)
		}
	}
	if rejected == 0 {
		t.Fatal("no announcement was made during the planned stop")
	}
}
