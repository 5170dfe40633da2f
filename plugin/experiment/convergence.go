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

func init() { registerScenario("convergence", measureConvergence) }

// Targets from sections 1.7 and 1.8 of the design, in milliseconds.
const (
	// quietTargetMillis is the target for the convergence time at p99, with up to 60 nodes and no
	// other load.
	quietTargetMillis = 100
	// convergenceTargetMillis is the target for the convergence time under all other conditions.
	convergenceTargetMillis = 3000
)

// convergenceTimeout bounds the time until all nodes serve a change; after it the scenario fails.
const convergenceTimeout = 30 * time.Second

// controlRestarts is the number of restarts of control instances in measureDuringRestarts.
const controlRestarts = 3

// variant is one of the values of the setting distribution/coalesce that a scenario compares.
type variant struct {
	name     string
	coalesce settings.Duration
}

// variants returns the baseline and the candidates from the settings.
func (e *env) variants() []variant {
	list := make([]variant, len(e.s.Coalesce))
	for i, c := range e.s.Coalesce {
		name := "candidate"
		if i == 0 {
			name = "baseline"
		}
		list[i] = variant{fmt.Sprintf("%s coalesce=%v", name, c.AsDuration()), c}
	}
	return list
}

func (v variant) controlSettings() map[string]map[string]any {
	return map[string]map[string]any{"distribution": {"coalesce": v.coalesce}}
}

// measureConvergence measures the time from the acceptance of a change until every node serves
// it, under four conditions.
func measureConvergence(e *env) error {
	for _, n := range e.s.Nodes {
		for _, v := range e.variants() {
			if err := measureFleetConvergence(e, n, v); err != nil {
				return errors.Wrapf(err, "%d nodes, %s", n, v.name)
			}
		}
	}
	return nil
}

// measureFleetConvergence measures all four conditions on one fleet of n nodes.
func measureFleetConvergence(e *env, n int, v variant) error {
	f, err := newFleet(e, fleetOptions{nodes: n, controlSettings: v.controlSettings()})
	defer func() { _ = f.stop() }()
	if err != nil {
		return err
	}
	target := float64(convergenceTargetMillis)
	if n <= 60 && v.coalesce == 0 {
		target = quietTargetMillis
	}
	if err := f.measureChanges(fmt.Sprintf("%d nodes, quiet", n), v, target, e.s.Changes); err != nil {
		return err
	}
	if err := f.measureUnderChurn(n, v); err != nil {
		return err
	}
	if err := f.measureDuringRestarts(n, v); err != nil {
		return err
	}
	if err := f.measureCatchUp(n, v); err != nil {
		return err
	}
	if f.tracker.versionDecreases > 0 {
		return errors.Newf("nodes moved back to an older version %d times", f.tracker.versionDecreases)
	}
	return nil
}

// submitChange revises the team of a service and returns the accepted version. The service is
// selected by i modulo the number of services.
func (f *fleet) submitChange(i int) (resource.Version, error) {
	f.timeoutMillis++
	s := f.plan.Spec.Services[i%len(f.plan.Spec.Services)]
	return f.reviseTeam(s.Name)
}

// measureChanges makes changes one after another and reports the quantiles of their convergence
// times.
func (f *fleet) measureChanges(caseName string, v variant, target float64, changes int) error {
	h := load.NewHistogram()
	for i := range changes {
		if err := f.measureChange(i, h); err != nil {
			return err
		}
	}
	f.reportConvergence(caseName, v, target, h)
	return nil
}

// measureChange makes one change and records its convergence time.
func (f *fleet) measureChange(i int, h *hdrhistogram.Histogram) error {
	version, err := f.submitChange(i)
	if err != nil {
		return err
	}
	if err := f.waitForVersion(version, convergenceTimeout); err != nil {
		return err
	}
	d, ok := f.tracker.convergenceTime(version)
	if !ok {
		return errors.Newf("version %d was not recorded for every node", version)
	}
	return h.RecordValue(max(d.Microseconds(), 1))
}

func (f *fleet) reportConvergence(caseName string, v variant, target float64, h *hdrhistogram.Histogram) {
	q, n := load.NewQuantiles(h), int(h.TotalCount())
	f.e.addFigure(caseName, v.name, "convergence p50", q.P50, "ms", 0, n)
	f.e.addFigure(caseName, v.name, "convergence p99", q.P99, "ms", target, n)
	f.e.addFigure(caseName, v.name, "convergence max", q.Max, "ms", 0, n)
}

// churnStartTimeout bounds the time until a node accepts the first endpoint event.
const churnStartTimeout = 5 * time.Second

// measureUnderChurn measures changes while endpoints change continuously.
func (f *fleet) measureUnderChurn(n int, v variant) error {
	const eventsPerSecond = 50
	ctx, cancel := context.WithCancel(f.e.ctx)
	defer cancel()
	acceptedEvents, churnStarted := make(chan int, 1), make(chan struct{})
	go func() { acceptedEvents <- f.runEndpointChurn(ctx, eventsPerSecond, func() { close(churnStarted) }) }()
	select {
	case <-churnStarted:
	case <-time.After(churnStartTimeout):
		return errors.Newf("no node accepted an endpoint event within %v", churnStartTimeout)
	}
	err := f.measureChanges(fmt.Sprintf("%d nodes, %d endpoint events/s", n, eventsPerSecond), v, convergenceTargetMillis, f.e.s.Changes)
	cancel()
	<-acceptedEvents
	return err
}

// measureDuringRestarts measures changes that are made while a control instance restarts.
func (f *fleet) measureDuringRestarts(n int, v variant) error {
	h := load.NewHistogram()
	for r := range controlRestarts {
		i := r % len(f.controls)
		restartResult := make(chan error, 1)
		go func() {
			err := f.controls[i].stop()
			if err == nil {
				err = f.startControl(i, false)
			}
			restartResult <- err
		}()
		for c := range max(f.e.s.Changes/controlRestarts/5, 2) {
			if err := f.measureChange(c, h); err != nil {
				<-restartResult
				return err
			}
		}
		if err := <-restartResult; err != nil {
			return err
		}
	}
	f.reportConvergence(fmt.Sprintf("%d nodes, a control instance restarts", n), v, convergenceTargetMillis, h)
	return nil
}

// measureCatchUp stops a control instance and a node, makes changes, and measures how long each of
// them takes after its restart to reach the current version. The node restarts without state.
func (f *fleet) measureCatchUp(n int, v variant) error {
	last := len(f.controls) - 1
	if err := errors.CombineErrors(f.controls[last].stop(), f.nodes[0].stop()); err != nil {
		return err
	}
	for i := range f.e.s.Missed {
		if _, err := f.submitChange(i); err != nil {
			return err
		}
	}
	caseName := fmt.Sprintf("%d nodes, %d changes missed", n, f.e.s.Missed)
	started := time.Now()
	if err := f.startControl(last, false); err != nil {
		return err
	}
	err := f.e.waitUntil(convergenceTimeout, "the control instance holds the current version", func() bool {
		f.tracker.mu.Lock()
		defer f.tracker.mu.Unlock()
		list := f.tracker.controls[last]
		return len(list) > 0 && list[len(list)-1].version >= f.operator.lastVersion
	})
	if err != nil {
		return err
	}
	f.e.addFigure(caseName, v.name, "control instance is current", millis(time.Since(started)), "ms", convergenceTargetMillis, 1)
	started = time.Now()
	if err := f.startNode(0); err != nil {
		return err
	}
	if err := f.waitForVersion(f.operator.lastVersion, convergenceTimeout); err != nil {
		return err
	}
	f.e.addFigure(caseName, v.name, "node without state is current", millis(time.Since(started)), "ms", convergenceTargetMillis, 1)
	return nil
}

func millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
