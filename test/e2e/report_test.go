package e2e

import (
	"slices"
	"time"

	"github.com/celeryyard/celeryyard/plugin/load"
	"github.com/celeryyard/celeryyard/test/harness"
)

// finish prints the report and fails the test for everything that must hold.
func (d *demo) finish(r *load.Result) {
	harness.Wait(d.t, 10*time.Second, "all nodes serve the last version", func() bool {
		for _, p := range d.f.Nodes {
			if p.Version() != d.last {
				return false
			}
		}
		return true
	})
	d.o.Stop()
	d.calls(r)
	d.convergence()
	d.costs()
	if list := d.o.Backwards(); len(list) > 0 {
		d.t.Errorf("I1: nodes went back to an older version: %v", list)
	}
}

func (d *demo) calls(r *load.Result) {
	d.line("calls: %d, succeeded %d, repeated %d; failed as not-run %d, as may-have-run %d; outcomes %v",
		r.Calls, r.Succeeded, r.Repeated, r.FailedByVerdict["not-run"], r.FailedByVerdict["may-have-run"], r.Outcomes)
	d.line("executions: %d, duplicates of non-idempotent calls: %d (must be 0)", r.Executions, len(r.Duplicates))
	for _, g := range r.Groups {
		d.line("  %-29s %-5s p50 %.2f ms, p99 %.2f ms, %d of %d succeeded", g.Host, g.Kind, g.FromArrival.P50, g.FromArrival.P99, g.Succeeded, g.Calls)
	}
	for _, e := range r.Failed {
		d.line("  failed: %+v", e)
	}
	for _, c := range r.Checks {
		if !c.OK {
			d.t.Errorf("%s: %s", c.Name, c.Detail)
		}
	}
	// I8: a planned stop interrupts no call; the crash of a control instance is no
	// part of the way of a call. No other fault is made.
	if r.Succeeded != r.Calls {
		d.t.Errorf("I8: %d of %d calls failed: %v", r.Calls-r.Succeeded, r.Calls, r.Outcomes)
	}
}

func (d *demo) convergence() {
	slices.Sort(d.times)
	n := len(d.times)
	p50, p99 := d.times[n/2], d.times[min(n*99/100, n-1)]
	d.line("convergence of %d changes, from submission, read every 20 ms: p50 %d ms, p99 %d ms, target %v",
		n, p50.Milliseconds(), p99.Milliseconds(), convergenceTarget)
	if p99 > convergenceTarget {
		d.t.Errorf("I9: convergence p99 %v exceeds %v", p99, convergenceTarget)
	}
}

// costs reports control bytes and memory of the nodes.
func (d *demo) costs() {
	var sent, received, memory float64
	for _, p := range d.f.Nodes {
		s, _ := p.Metric("celeryyard_peer_sent_bytes_total")
		r, _ := p.Metric("celeryyard_peer_received_bytes_total")
		sent, received, memory = sent+s, received+r, max(memory, p.MemoryMB())
	}
	n := float64(len(d.f.Nodes))
	d.line("control bytes per node: %.0f sent, %.0f received, over %d changes", sent/n, received/n, d.changes)
	d.line("resident memory of a node: at most %.1f MB, target %.0f MB", memory, memoryTarget)
	if memory > memoryTarget {
		d.t.Errorf("a node uses %.1f MB, the target is %.0f MB", memory, memoryTarget)
	}
}
