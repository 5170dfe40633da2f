package e2e

import (
	"testing"
	"time"

	"github.com/celeryyard/celeryyard/core/layout"
	"github.com/celeryyard/celeryyard/plugin/load"
	"github.com/celeryyard/celeryyard/test/harness"
)

// startDemoFleet returns a running and configured fleet, and a demo that makes changes in it. If
// withRelays is set, zones can be partitioned.
func startDemoFleet(t *testing.T, withRelays bool) (*harness.Fleet, *demo) {
	t.Helper()
	f := harness.NewFleet(t, layout.Spec{Zones: demoZones(), Services: demoServices(), Voters: 3, Seed: 1}, withRelays, 0)
	d := &demo{t: t, f: f, revisions: map[string]uint64{}}
	f.Start()
	f.Configure()
	d.observer = harness.ObserveVersions(f.Nodes)
	d.f.WaitServing()
	return f, d
}

// startLoad starts a load run through the given nodes. The map overrides replaces settings of the
// load tool by name. The channel receives the result, or nil if the load tool returned none.
func startLoad(f *harness.Fleet, name string, nodes, reports []string, overrides map[string]any) chan *load.Result {
	settings := map[string]any{
		"nodes": nodes, "reports": reports, "organisations": f.OrganisationLoads(), "rate": 100, "duration": "8s", "seed": 2, "run": name,
	}
	for k, v := range overrides {
		settings[k] = v
	}
	loadResult := make(chan *load.Result, 1)
	go func() {
		defer close(loadResult) // even if the load tool returns no result
		r, _ := f.RunLoad(name, settings)
		loadResult <- r
	}()
	return loadResult
}

// assertChecks logs the result of a load run and fails the test for each failed check.
func assertChecks(t *testing.T, r *load.Result) {
	t.Helper()
	if r == nil {
		t.Fatal("the load run has no result")
	}
	t.Logf("%d calls, %d succeeded, %d repeated, failed %v, outcomes %v", r.Calls, r.Succeeded, r.Repeated, r.FailedByVerdict, r.Outcomes)
	for _, e := range r.Failed {
		t.Logf("failed: %+v", e)
	}
	for _, c := range r.Checks {
		if !c.OK {
			t.Errorf("%s: %s", c.Name, c.Detail)
		}
	}
}

// Guards against failing calls in a partitioned zone, where nodes know only stale endpoints.
func TestCallsSurviveAPartition(t *testing.T) {
	f, d := startDemoFleet(t, true)
	const zone = "gorenjska-a"
	var inside []string
	for _, p := range f.Plan.Nodes {
		if p.Zone == zone {
			inside = append(inside, p.CallersAddress)
		}
	}
	f.Partition(zone)
	loadResult := startLoad(f, "partition", inside, f.ReportAddresses(), map[string]any{"duration": "5s"})
	time.Sleep(2 * time.Second) // longer than an election
	for i := range 3 {
		d.makeChangeOutside(zone, demoServices()[i])
	}
	// Calls from the zone reach upstreams in all zones: only the connections to control
	// instances are cut, and nodes also use stale endpoints.
	r := <-loadResult
	assertChecks(t, r)
	if r.Succeeded != r.Calls {
		t.Errorf("%d of %d calls of the partitioned zone failed: %v", r.Calls-r.Succeeded, r.Calls, r.Outcomes)
	}
	f.Heal(zone)
	d.waitForVersion(f.Nodes, 10*time.Second)
	d.observer.Stop()
	if list := d.observer.VersionDecreases(); len(list) > 0 {
		t.Errorf("I1: nodes reverted to an older version: %v", list)
	}
}

// Guards against calls that are lost or interrupted by a planned stop of an upstream, and against new
// calls that are sent to the upstream after its stop.
func TestUpstreamLeavesWithoutFailedCalls(t *testing.T) {
	f, d := startDemoFleet(t, false)
	d.observer.Stop()
	// The stopped stand-in no longer reports its executions, so that the load tool can't check that
	// each successful call was executed.
	loadResult := startLoad(f, "leave", f.CallerAddresses(), f.ReportAddresses(), map[string]any{"may_be_lost": 1})
	time.Sleep(2 * time.Second)
	if code := f.Upstreams[0].Stop(); code != 0 {
		t.Errorf("planned stop of an upstream: exit code %d", code)
	}
	if !f.Upstreams[0].HasLoggedEvent(903) {
		t.Error("the upstream did not log that it left its node")
	}
	r := <-loadResult
	assertChecks(t, r)
	if r.Succeeded != r.Calls {
		t.Errorf("I8: %d of %d calls failed: %v", r.Calls-r.Succeeded, r.Calls, r.Outcomes)
	}
}

// Guards against second executions, wrong "not run" verdicts, and answers that belong to a different
// call. During the load, one node and one control instance are killed, and a second node is frozen.
func TestCrashesPreserveCallGuarantees(t *testing.T) {
	f, d := startDemoFleet(t, false)
	d.observer.Stop()
	// Send calls only through the nodes that are not killed or frozen.
	loadResult := startLoad(f, "crash", f.CallerAddresses()[2:], f.ReportAddresses(), map[string]any{"drop_percent": 50, "timeout": "3s", "duration": "12s"})
	time.Sleep(time.Second)
	f.Nodes[0].Kill()
	f.Nodes[1].Freeze()
	f.Controls[0].Kill()
	time.Sleep(4 * time.Second)
	f.Nodes[1].Thaw()
	f.Nodes[0].Start()
	f.Controls[0].Start()
	harness.WaitReady(t, 20*time.Second, f.Nodes[0], f.Nodes[1], f.Controls[0])
	r := <-loadResult
	assertChecks(t, r)
	if len(r.Duplicates) > 0 {
		t.Errorf("I6: executed more than once: %v", r.Duplicates)
	}
}

// Guards against a planned stop that is interrupted by SIGHUP, which requests a reload of the
// settings: the default action of SIGHUP would end the process and interrupt the calls in flight.
func TestHangupDuringAPlannedStop(t *testing.T) {
	f, d := startDemoFleet(t, false)
	d.observer.Stop()
	for name, p := range map[string]*harness.Process{"node": f.Nodes[0], "control instance": f.Controls[2]} {
		code := make(chan int, 1)
		go func() { code <- p.Stop() }()
		for range 20 {
			time.Sleep(20 * time.Millisecond)
			if p.IsRunning() {
				p.ReloadSettings()
			}
		}
		if c := <-code; c != 0 {
			t.Errorf("%s: exit code %d", name, c)
		}
		if !p.HasLoggedEvent(102) {
			t.Errorf("%s: the planned stop was not completed", name)
		}
	}
}
