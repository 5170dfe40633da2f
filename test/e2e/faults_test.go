package e2e

import (
	"testing"
	"time"

	"github.com/celeryyard/celeryyard/core/layout"
	"github.com/celeryyard/celeryyard/plugin/load"
	"github.com/celeryyard/celeryyard/test/harness"
)

// started returns a running and configured fleet.
func started(t *testing.T, links bool) (*harness.Fleet, *demo) {
	t.Helper()
	f := harness.NewFleet(t, layout.Spec{Zones: demoZones(), Services: demoServices(), Voters: 3, Seed: 1}, links, 0)
	d := &demo{t: t, f: f, revisions: map[string]uint64{}}
	f.Start()
	f.Configure()
	d.o = harness.Observe(f.Nodes)
	d.f.WaitServing()
	return f, d
}

// background runs load through the given nodes while the test goes on.
func background(f *harness.Fleet, name string, nodes, reports []string, more map[string]any) chan *load.Result {
	section := map[string]any{
		"nodes": nodes, "reports": reports, "organisations": f.Sources(), "rate": 100, "duration": "8s", "seed": 2, "run": name,
	}
	for k, v := range more {
		section[k] = v
	}
	done := make(chan *load.Result, 1)
	go func() {
		defer close(done) // also when the load tool gives no result
		r, _ := f.Load(name, section)
		done <- r
	}()
	return done
}

// kept fails the test for each check of a load run that failed.
func kept(t *testing.T, r *load.Result) {
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

// Guards against calls that fail in a partitioned zone, which holds endpoints
// that are stale.
func TestCallsSurviveAPartition(t *testing.T) {
	f, d := started(t, true)
	const zone = "gorenjska-a"
	var inside []string
	for _, p := range f.Plan.Nodes {
		if p.Zone == zone {
			inside = append(inside, p.Callers)
		}
	}
	f.Partition(zone)
	done := background(f, "partition", inside, f.Reports(), map[string]any{"duration": "5s"})
	time.Sleep(2 * time.Second) // longer than an election
	for i := range 3 {
		d.changeOutside(zone, demoServices()[i])
	}
	// Calls from the zone reach upstreams everywhere: only the connections to
	// control instances are cut, and endpoints are used also when they are stale.
	r := <-done
	kept(t, r)
	if r.Succeeded != r.Calls {
		t.Errorf("%d of %d calls of the partitioned zone failed: %v", r.Calls-r.Succeeded, r.Calls, r.Outcomes)
	}
	f.Heal(zone)
	d.reach(f.Nodes, 10*time.Second)
	d.o.Stop()
	if list := d.o.Backwards(); len(list) > 0 {
		t.Errorf("I1: nodes went back to an older version: %v", list)
	}
}

// Guards against calls that are lost or interrupted when an upstream leaves as
// planned, and against new calls for it afterwards.
func TestUpstreamLeavesWithoutLoss(t *testing.T) {
	f, d := started(t, false)
	d.o.Stop()
	// The stand-in that leaves takes its counts with it, so that successes cannot
	// be compared with its executions.
	done := background(f, "leave", f.Callers(), f.Reports(), map[string]any{"may_be_lost": 1})
	time.Sleep(2 * time.Second)
	if code := f.Upstreams[0].Stop(); code != 0 {
		t.Errorf("planned stop of an upstream: exit code %d", code)
	}
	if !f.Upstreams[0].LogHas(903) {
		t.Error("the upstream did not leave its node")
	}
	r := <-done
	kept(t, r)
	if r.Succeeded != r.Calls {
		t.Errorf("I8: %d of %d calls failed: %v", r.Calls-r.Succeeded, r.Calls, r.Outcomes)
	}
}

// Guards against a second execution, a false "not run" or a foreign answer when
// a node is killed, another one is frozen, and a control instance is killed.
func TestCrashesKeepThePromisesOfCalls(t *testing.T) {
	f, d := started(t, false)
	d.o.Stop()
	// Callers use the nodes that stay.
	done := background(f, "crash", f.Callers()[2:], f.Reports(), map[string]any{"drop_percent": 50, "timeout": "3s", "duration": "12s"})
	time.Sleep(time.Second)
	f.Nodes[0].Kill()
	f.Nodes[1].Freeze()
	f.Controls[0].Kill()
	time.Sleep(4 * time.Second)
	f.Nodes[1].Thaw()
	f.Nodes[0].Start()
	f.Controls[0].Start()
	harness.WaitReady(t, 20*time.Second, f.Nodes[0], f.Nodes[1], f.Controls[0])
	r := <-done
	kept(t, r)
	if len(r.Duplicates) > 0 {
		t.Errorf("I6: executed more than once: %v", r.Duplicates)
	}
}

// Guards against a change of the settings that ends a process during its planned stop by
// the default action of the signal, and cuts the calls in flight.
func TestHangupDuringAPlannedStop(t *testing.T) {
	f, d := started(t, false)
	d.o.Stop()
	for name, p := range map[string]*harness.Process{"node": f.Nodes[0], "control instance": f.Controls[2]} {
		code := make(chan int, 1)
		go func() { code <- p.Stop() }()
		for range 20 {
			time.Sleep(20 * time.Millisecond)
			if p.Running() {
				p.Hangup()
			}
		}
		if c := <-code; c != 0 {
			t.Errorf("%s: exit code %d", name, c)
		}
		if !p.LogHas(102) {
			t.Errorf("%s: the planned stop did not end", name)
		}
	}
}
