// Package e2e runs the real programs on one machine.
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

// Targets of the design, sections 1.7 and 1.8.
const (
	convergenceTarget = 3 * time.Second
	memoryTarget      = 64.0 // MB for a node
)

// demoLoad is how long calls arrive.
const demoLoad = 16 * time.Second

// demoZones are three zones with a control instance each.
func demoZones() []layout.Zone {
	return []layout.Zone{
		{Name: "cant-a", Region: "cantabrico", Controls: 1}, {Name: "cant-b", Region: "cantabrico", Controls: 1},
		{Name: "gorenjska-a", Region: "gorenjska", Controls: 1},
	}
}

// demoServices are the services of both organisations with 9 upstreams.
func demoServices() []layout.Service {
	return []layout.Service{
		{Name: "catalogo", Organisation: "tacto-norte", Endpoints: 3, Slots: 9},
		{Name: "taller", Organisation: "tacto-norte", Endpoints: 2, Slots: 9},
		{Name: "order-desk", Organisation: "kranjc", Endpoints: 2, Slots: 9},
		{Name: "workroom", Organisation: "kranjc", Endpoints: 2, Slots: 9},
	}
}

// demo is the state of the demonstration.
type demo struct {
	t *testing.T
	f *harness.Fleet
	o *harness.Observer
	// drained is the position of the node that is stopped during the load.
	drained   int
	revisions map[string]uint64
	changes   int
	last      uint64
	times     []time.Duration
	report    strings.Builder
}

// Guards against a break anywhere on the whole path from an operator's change
// to a call, under a crash, a drain and load.
func TestDemo(t *testing.T) {
	started := time.Now()
	d := &demo{t: t, revisions: map[string]uint64{}, drained: 0}
	d.f = harness.NewFleet(t, layout.Spec{Zones: demoZones(), Services: demoServices(), Voters: 3, Seed: 1}, false, 0)
	d.f.Start()
	d.f.Configure()
	d.o = harness.Observe(d.f.Nodes)
	d.f.WaitServing()
	d.line("fleet of %d control instances and %d nodes is in service after %.1f s", len(d.f.Controls), len(d.f.Nodes), time.Since(started).Seconds())
	done := make(chan *load.Result, 1)
	go func() {
		defer close(done) // also when the load tool gives no result
		done <- d.load()
	}()
	d.quietChanges(10)
	d.crash()
	d.drain()
	r := <-done
	if r == nil {
		t.Fatal("the load run has no result")
	}
	d.finish(r)
	fmt.Printf("%stotal %.1f s\n", d.report.String(), time.Since(started).Seconds())
}

func (d *demo) line(format string, args ...any) { fmt.Fprintf(&d.report, format+"\n", args...) }

// load calls all services through all nodes but the one that is drained, which
// would refuse its callers' connections after its stop.
func (d *demo) load() *load.Result {
	nodes := d.f.Callers()
	nodes = append(nodes[:d.drained:d.drained], nodes[d.drained+1:]...)
	r, _ := d.f.Load("load", map[string]any{
		"nodes": nodes, "reports": d.f.Reports(), "organisations": d.f.Sources(), "rate": 200, "duration": demoLoad.String(),
		"seed": 1, "run": "demo",
	})
	return r
}

// change revises a team and waits until all running nodes serve it.
func (d *demo) change(service layout.Service) {
	d.t.Helper()
	answer := d.submit(service)
	d.times = append(d.times, d.reach(d.running(""), 15*time.Second).Sub(answer.Sent))
}

// submit revises a team. Before the first time it learns the revision from the
// refusal of a change with a wrong one.
func (d *demo) submit(service layout.Service) harness.Decision {
	d.t.Helper()
	d.changes++
	id := fmt.Sprintf("demo-%d", d.changes)
	body := layout.Team(service, 5000+d.changes, nil)
	if d.revisions[service.Name] == 0 {
		out, code := d.f.Command(service.Organisation, "team", "revise", "--expected-revision", "1000000", d.f.File("stale.json", body))
		if code != kernel.ExitRefused {
			d.t.Fatalf("a change with a wrong revision is not refused: exit code %d, %s", code, out)
		}
		d.revisions[service.Name] = harness.Field(out, "revision")
	}
	answer := d.f.Change(id, service.Organisation, "revise", service.Name, d.revisions[service.Name], body)
	if answer.State != "accepted" || answer.Version <= d.last {
		d.t.Fatalf("change %s: %+v after version %d", id, answer, d.last)
	}
	d.revisions[service.Name], d.last = answer.Revision, answer.Version
	return answer
}

// changeOutside makes a change and waits for the nodes outside a zone.
func (d *demo) changeOutside(zone string, service layout.Service) {
	d.t.Helper()
	d.submit(service)
	d.reach(d.running(zone), 15*time.Second)
}

// running returns the nodes that run and are not in the zone.
func (d *demo) running(without string) []*harness.Process {
	var list []*harness.Process
	for i, p := range d.f.Nodes {
		if p.Running() && d.f.Plan.Nodes[i].Zone != without {
			list = append(list, p)
		}
	}
	return list
}

// reach waits until the nodes serve the last version and returns when the last
// of them was first seen to do so.
func (d *demo) reach(nodes []*harness.Process, limit time.Duration) (at time.Time) {
	d.t.Helper()
	harness.Wait(d.t, limit, fmt.Sprintf("nodes serve version %d", d.last), func() bool {
		var ok bool
		at, ok = d.o.Reached(d.last, nodes)
		return ok
	})
	return at
}

func (d *demo) quietChanges(n int) {
	services := demoServices()
	for i := range n {
		d.change(services[i%len(services)])
	}
}

// crash kills a control instance, makes changes without it, and starts it again.
func (d *demo) crash() {
	victim := d.f.Controls[1]
	victim.Kill()
	d.quietChanges(4)
	victim.Start()
	harness.WaitReady(d.t, 20*time.Second, victim)
	d.quietChanges(4)
	d.line("%s was killed and started again; 4 changes were made without it", victim.Name)
}

// drain stops a node as planned while calls for its upstream arrive, and starts
// it again.
func (d *demo) drain() {
	node := d.f.Nodes[d.drained]
	begin := time.Now()
	if code := node.Stop(); code != 0 {
		d.t.Errorf("planned stop of %s: exit code %d", node.Name, code)
	}
	took := time.Since(begin)
	d.quietChanges(2)
	node.Start()
	harness.WaitReady(d.t, 20*time.Second, node)
	d.quietChanges(2)
	d.line("%s was drained in %.1f s and started again", node.Name, took.Seconds())
}
