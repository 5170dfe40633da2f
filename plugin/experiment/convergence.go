package experiment

import (
	"context"
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"

	"github.com/celeryyard/celeryyard/core/resource"
	"github.com/celeryyard/celeryyard/kernel/settings"
	"github.com/celeryyard/celeryyard/plugin/load"
)

func init() { register("convergence", convergence) }

// Targets of section 1.8 of the design, in milliseconds.
const (
	// quietTarget holds for 60 nodes without other load.
	quietTarget = 100
	// anyTarget is "in force everywhere within 3 s".
	anyTarget = 3000
)

// convergeLimit bounds the wait for one change.
const convergeLimit = 30 * time.Second

// restarts is the number of restarts of a control instance in that case.
const restarts = 3

// variant is a setting that is compared with others.
type variant struct {
	name     string
	coalesce settings.Duration
}

// variants returns the baseline and the candidates of the settings.
func (e *env) variants() []variant {
	list := make([]variant, len(e.s.Coalesce))
	for i, c := range e.s.Coalesce {
		name := "candidate"
		if i == 0 {
			name = "baseline"
		}
		list[i] = variant{fmt.Sprintf("%s coalesce=%v", name, c.D()), c}
	}
	return list
}

func (v variant) control() map[string]map[string]any {
	return map[string]map[string]any{"distribution": {"coalesce": v.coalesce}}
}

// convergence measures the time from the acceptance of a change until every
// node serves it, in four conditions.
func convergence(e *env) error {
	for _, n := range e.s.Nodes {
		for _, v := range e.variants() {
			if err := convergenceOf(e, n, v); err != nil {
				return errors.Wrapf(err, "%d nodes, %s", n, v.name)
			}
		}
	}
	return nil
}

func convergenceOf(e *env, n int, v variant) error {
	f, err := newFleet(e, fleetOptions{nodes: n, control: v.control()})
	defer func() { _ = f.stop() }()
	if err != nil {
		return err
	}
	target := float64(anyTarget)
	if n <= 60 && v.coalesce == 0 {
		target = quietTarget
	}
	if err := f.measured(fmt.Sprintf("%d nodes, quiet", n), v, target, e.s.Changes); err != nil {
		return err
	}
	if err := f.underChurn(n, v); err != nil {
		return err
	}
	if err := f.duringRestarts(n, v); err != nil {
		return err
	}
	if err := f.afterMissed(n, v); err != nil {
		return err
	}
	if f.track.backwards > 0 {
		return errors.Newf("nodes moved back to an older version %d times", f.track.backwards)
	}
	return nil
}

// change revises one team, alternating between the services, and returns the
// version.
func (f *fleet) change(i int) (resource.Version, error) {
	f.timeouts++
	s := f.plan.Spec.Services[i%len(f.plan.Spec.Services)]
	return f.changeTeam(s.Name)
}

// measured makes changes one after another and reports the quantiles of their
// convergence times.
func (f *fleet) measured(kase string, v variant, target float64, changes int) error {
	h := load.Histogram()
	for i := range changes {
		if err := f.oneChange(i, h); err != nil {
			return err
		}
	}
	f.report(kase, v, target, h)
	return nil
}

func (f *fleet) oneChange(i int, h *hdrhistogram.Histogram) error {
	version, err := f.change(i)
	if err != nil {
		return err
	}
	if err := f.converge(version, convergeLimit); err != nil {
		return err
	}
	d, ok := f.track.convergence(version)
	if !ok {
		return errors.Newf("version %d was not seen at every process", version)
	}
	return h.RecordValue(max(d.Microseconds(), 1))
}

func (f *fleet) report(kase string, v variant, target float64, h *hdrhistogram.Histogram) {
	q, n := load.QuantilesOf(h), int(h.TotalCount())
	f.e.add(kase, v.name, "convergence p50", q.P50, "ms", 0, n)
	f.e.add(kase, v.name, "convergence p99", q.P99, "ms", target, n)
	f.e.add(kase, v.name, "convergence max", q.Max, "ms", 0, n)
}

// churnStart bounds the wait for the first endpoint event.
const churnStart = 5 * time.Second

// underChurn measures while endpoints change all the time.
func (f *fleet) underChurn(n int, v variant) error {
	const perSecond = 50
	ctx, cancel := context.WithCancel(f.e.ctx)
	defer cancel()
	stopped, running := make(chan int, 1), make(chan struct{})
	go func() { stopped <- f.churn(ctx, perSecond, func() { close(running) }) }()
	select {
	case <-running:
	case <-time.After(churnStart):
		return errors.Newf("no endpoint event was taken by a node within %v", churnStart)
	}
	err := f.measured(fmt.Sprintf("%d nodes, %d endpoint events/s", n, perSecond), v, anyTarget, f.e.s.Changes)
	cancel()
	<-stopped
	return err
}

// duringRestarts measures changes that are made while a control instance is
// being stopped and started.
func (f *fleet) duringRestarts(n int, v variant) error {
	h := load.Histogram()
	for r := range restarts {
		i := r % len(f.controls)
		back := make(chan error, 1)
		go func() {
			err := f.controls[i].stop()
			if err == nil {
				err = f.startControl(i, false)
			}
			back <- err
		}()
		for c := range max(f.e.s.Changes/restarts/5, 2) {
			if err := f.oneChange(c, h); err != nil {
				<-back
				return err
			}
		}
		if err := <-back; err != nil {
			return err
		}
	}
	f.report(fmt.Sprintf("%d nodes, a control instance restarts", n), v, anyTarget, h)
	return nil
}

// afterMissed measures how long processes that were away take to return to the
// current version: a control instance, and a node without state.
func (f *fleet) afterMissed(n int, v variant) error {
	last := len(f.controls) - 1
	if err := errors.CombineErrors(f.controls[last].stop(), f.nodes[0].stop()); err != nil {
		return err
	}
	for i := range f.e.s.Missed {
		if _, err := f.change(i); err != nil {
			return err
		}
	}
	kase := fmt.Sprintf("%d nodes, %d changes missed", n, f.e.s.Missed)
	started := time.Now()
	if err := f.startControl(last, false); err != nil {
		return err
	}
	err := f.e.until(convergeLimit, "the control instance holds the current version", func() bool {
		f.track.mu.Lock()
		defer f.track.mu.Unlock()
		list := f.track.controls[last]
		return len(list) > 0 && list[len(list)-1].version >= f.ops.version
	})
	if err != nil {
		return err
	}
	f.e.add(kase, v.name, "control instance is current", millis(time.Since(started)), "ms", anyTarget, 1)
	started = time.Now()
	if err := f.startNode(0); err != nil {
		return err
	}
	if err := f.converge(f.ops.version, convergeLimit); err != nil {
		return err
	}
	f.e.add(kase, v.name, "node without state is current", millis(time.Since(started)), "ms", anyTarget, 1)
	return nil
}

func millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
