package e2e

import (
	"slices"
	"time"

	"github.com/celeryyard/celeryyard/plugin/load"
	"github.com/celeryyard/celeryyard/test/harness"
)

// finish completes the report and fails the test for each requirement that is not met.
func (d *demo) finish(r *load.Result) {
	harness.WaitUntil(d.t, 10*time.Second, "all nodes serve the last version", func() bool {
		for _, p := range d.f.Nodes {
			if p.ServedVersion() != d.lastVersion {
				return false
			}
		}
		return true
	})
	d.observer.Stop()
	d.reportCalls(r)
	d.reportConvergence()
	d.reportCosts()
	if list := d.observer.VersionDecreases(); len(list) > 0 {
		d.t.Errorf("I1: nodes reverted to an older version: %v", list)
	}
}

// reportCalls reports calls and executions, and checks that no call failed.
func (d *demo) reportCalls(r *load.Result) {
	d.reportLine("calls: %d, succeeded %d, repeated %d; failed as not-run %d, as may-have-run %d; outcomes %v",
		r.Calls, r.Succeeded, r.Repeated, r.FailedByVerdict["not-run"], r.FailedByVerdict["may-have-run"], r.Outcomes)
	d.reportLine("executions: %d, duplicates of non-idempotent calls: %d (must be 0)", r.Executions, len(r.Duplicates))
	for _, g := range r.Groups {
		d.reportLine("  %-29s %-5s p50 %.2f ms, p99 %.2f ms, %d of %d succeeded", g.Host, g.Kind, g.FromArrival.P50, g.FromArrival.P99, g.Succeeded, g.Calls)
	}
	for _, e := range r.Failed {
		d.reportLine("  failed: %+v", e)
	}
	for _, c := range r.Checks {
		if !c.OK {
			d.t.Errorf("%s: %s", c.Name, c.Detail)
		}
	}
	// I8: a planned stop interrupts no call. Calls don't pass through control instances, so the crash
	// of a control instance must not fail any call either. The test injects no other fault.
	if r.Succeeded != r.Calls {
		d.t.Errorf("I8: %d of %d calls failed: %v", r.Calls-r.Succeeded, r.Calls, r.Outcomes)
	}
}

// reportConvergence reports the time from the submission of a change until all running nodes served
// it, and checks the target.
func (d *demo) reportConvergence() {
	slices.Sort(d.convergenceTimes)
	n := len(d.convergenceTimes)
	p50, p99 := d.convergenceTimes[n/2], d.convergenceTimes[min(n*99/100, n-1)]
	d.reportLine("convergence of %d changes, from submission, sampled every 20 ms: p50 %d ms, p99 %d ms, target %v",
		n, p50.Milliseconds(), p99.Milliseconds(), convergenceTarget)
	if p99 > convergenceTarget {
		d.t.Errorf("I9: convergence p99 %v exceeds %v", p99, convergenceTarget)
	}
}

// reportCosts reports control traffic and memory of the nodes, and checks the target for memory.
func (d *demo) reportCosts() {
	var sent, received, memory float64
	for _, p := range d.f.Nodes {
		s, _ := p.Metric("celeryyard_peer_sent_bytes_total")
		r, _ := p.Metric("celeryyard_peer_received_bytes_total")
		sent, received, memory = sent+s, received+r, max(memory, p.MemoryMB())
	}
	n := float64(len(d.f.Nodes))
	d.reportLine("control traffic per node: %.0f bytes sent, %.0f bytes received, for %d changes", sent/n, received/n, d.changes)
	d.reportLine("resident memory of a node: at most %.1f MB, target %.0f MB", memory, nodeMemoryTargetMB)
	if memory > nodeMemoryTargetMB {
		d.t.Errorf("a node uses %.1f MB, above the target of %.0f MB", memory, nodeMemoryTargetMB)
	}
}
