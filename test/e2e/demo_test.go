// Package e2e runs end-to-end tests of the programs on one machine.
package e2e

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/celeryyard/celeryyard/core/layout"
	"github.com/celeryyard/celeryyard/kernel"
	"github.com/celeryyard/celeryyard/plugin/load"
	"github.com/celeryyard/celeryyard/test/harness"
)

func TestMain(m *testing.M) { os.Exit(harness.Main(m)) }

// Targets from sections 1.7 and 1.8 of docs/design.md.
const (
	convergenceTarget  = 3 * time.Second
	nodeMemoryTargetMB = 64.0 // resident memory
)

// demoLoadDuration is the duration of the load run of TestDemo.
const demoLoadDuration = 16 * time.Second

// demoZones returns three zones with one control instance each.
func demoZones() []layout.Zone {
	return []layout.Zone{
		{Name: "cant-a", Region: "cantabrico", Controls: 1}, {Name: "cant-b", Region: "cantabrico", Controls: 1},
		{Name: "gorenjska-a", Region: "gorenjska", Controls: 1},
	}
}

// demoServices returns the services of both organisations, which have 9 upstreams in total.
func demoServices() []layout.Service {
	return []layout.Service{
		{Name: "catalogo", Organisation: "tacto-norte", Endpoints: 3, Slots: 9},
		{Name: "taller", Organisation: "tacto-norte", Endpoints: 2, Slots: 9},
		{Name: "order-desk", Organisation: "kranjc", Endpoints: 2, Slots: 9},
		{Name: "workroom", Organisation: "kranjc", Endpoints: 2, Slots: 9},
	}
}

// demo is the state of TestDemo and of tests with the same fleet.
type demo struct {
	t        *testing.T
	f        *harness.Fleet
	observer *harness.VersionObserver
	// drainedNode is the index of the node that is drained during the load.
	drainedNode int
	// revisions holds the last revision of each team, by the name of its service.
	revisions map[string]uint64
	// changes counts the submitted changes.
	changes int
	// lastVersion is the version of the last accepted change.
	lastVersion uint64
	// convergenceTimes holds for each change the time from its submission until all running nodes
	// served it.
	convergenceTimes []time.Duration
	report           strings.Builder
}

// Guards against faults on the whole path from an operator's change to a call, with a crash of a
// control instance and a drain of a node under load.
func TestDemo(t *testing.T) {
	started := time.Now()
	d := &demo{t: t, revisions: map[string]uint64{}, drainedNode: 0}
	d.f = harness.NewFleet(t, layout.Spec{Zones: demoZones(), Services: demoServices(), Voters: 3, Seed: 1}, false, 0)
	d.f.Start()
	d.f.Configure()
	d.observer = harness.ObserveVersions(d.f.Nodes)
	d.f.WaitServing()
	d.reportLine("fleet of %d control instances and %d nodes serves calls after %.1f s", len(d.f.Controls), len(d.f.Nodes), time.Since(started).Seconds())
	loadResult := make(chan *load.Result, 1)
	go func() {
		defer close(loadResult) // even if the load tool returns no result
		loadResult <- d.runLoad()
	}()
	d.makeChanges(10)
	d.crashControl()
	d.drainNode()
	r := <-loadResult
	if r == nil {
		t.Fatal("the load run has no result")
	}
	d.finish(r)
	fmt.Printf("%stotal %.1f s\n", d.report.String(), time.Since(started).Seconds())
}

// reportLine adds a line to the report.
func (d *demo) reportLine(format string, args ...any) { fmt.Fprintf(&d.report, format+"\n", args...) }

// runLoad calls all services through all nodes except the drained one, which refuses connections
// of callers while it is stopped.
func (d *demo) runLoad() *load.Result {
	nodes := d.f.CallerAddresses()
	nodes = append(nodes[:d.drainedNode:d.drainedNode], nodes[d.drainedNode+1:]...)
	r, _ := d.f.RunLoad("load", map[string]any{
		"nodes": nodes, "reports": d.f.ReportAddresses(), "organisations": d.f.OrganisationLoads(), "rate": 200, "duration": demoLoadDuration.String(),
		"seed": 1, "run": "demo",
	})
	return r
}

// makeChange revises a team, waits until all running nodes serve the new version, and records the
// convergence time.
func (d *demo) makeChange(service layout.Service) {
	d.t.Helper()
	answer := d.submitChange(service)
	d.convergenceTimes = append(d.convergenceTimes, d.waitForVersion(d.runningNodes(""), 15*time.Second).Sub(answer.Sent))
}

// submitChange revises a team. If the team's current revision is not known yet, it first submits a
// change with a wrong expected revision and reads the current one from the refusal.
func (d *demo) submitChange(service layout.Service) harness.Decision {
	d.t.Helper()
	d.changes++
	id := fmt.Sprintf("demo-%d", d.changes)
	body := layout.Team(service, 5000+d.changes, nil)
	if d.revisions[service.Name] == 0 {
		out, code := d.f.Command(service.Organisation, "team", "revise", "--expected-revision", "1000000", d.f.WriteJSON("stale.json", body))
		if code != kernel.ExitRefused {
			d.t.Fatalf("change with a wrong revision was not refused: exit code %d, %s", code, out)
		}
		d.revisions[service.Name] = harness.NumberField(out, "revision")
	}
	answer := d.f.SubmitChange(id, service.Organisation, "revise", service.Name, d.revisions[service.Name], body)
	if answer.State != "accepted" || answer.Version <= d.lastVersion {
		d.t.Fatalf("change %s: %+v after version %d", id, answer, d.lastVersion)
	}
	d.revisions[service.Name], d.lastVersion = answer.Revision, answer.Version
	return answer
}

// makeChangeOutside revises a team and waits until all running nodes outside the zone serve the
// new version.
func (d *demo) makeChangeOutside(zone string, service layout.Service) {
	d.t.Helper()
	d.submitChange(service)
	d.waitForVersion(d.runningNodes(zone), 15*time.Second)
}

// runningNodes returns the running nodes that are not in excludedZone.
func (d *demo) runningNodes(excludedZone string) []*harness.Process {
	var list []*harness.Process
	for i, p := range d.f.Nodes {
		if p.IsRunning() && d.f.Plan.Nodes[i].Zone != excludedZone {
			list = append(list, p)
		}
	}
	return list
}

// waitForVersion waits until the nodes serve lastVersion, and returns the time at which the last of
// them was first observed to serve it.
func (d *demo) waitForVersion(nodes []*harness.Process, timeout time.Duration) (reachedAt time.Time) {
	d.t.Helper()
	harness.WaitUntil(d.t, timeout, fmt.Sprintf("nodes serve version %d", d.lastVersion), func() bool {
		var ok bool
		reachedAt, ok = d.observer.AllReachedAt(d.lastVersion, nodes)
		return ok
	})
	return reachedAt
}

// makeChanges makes n changes, to the services in turn.
func (d *demo) makeChanges(n int) {
	services := demoServices()
	for i := range n {
		d.makeChange(services[i%len(services)])
	}
}

// crashControl kills a control instance, makes changes without it, and restarts it.
func (d *demo) crashControl() {
	control := d.f.Controls[1]
	control.Kill()
	d.makeChanges(4)
	control.Start()
	harness.WaitReady(d.t, 20*time.Second, control)
	d.makeChanges(4)
	d.reportLine("%s was killed and restarted; 4 changes were made without it", control.Name)
}

// drainNode stops a node by a planned stop while calls for its upstream arrive, and restarts it.
func (d *demo) drainNode() {
	node := d.f.Nodes[d.drainedNode]
	begin := time.Now()
	if code := node.Stop(); code != 0 {
		d.t.Errorf("planned stop of %s: exit code %d", node.Name, code)
	}
	took := time.Since(begin)
	d.makeChanges(2)
	node.Start()
	harness.WaitReady(d.t, 20*time.Second, node)
	d.makeChanges(2)
	d.reportLine("%s was drained in %.1f s and restarted", node.Name, took.Seconds())
}
