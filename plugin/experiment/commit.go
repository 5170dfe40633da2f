package experiment

import (
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"

	"github.com/celeryyard/celeryyard/core/layout"
	"github.com/celeryyard/celeryyard/core/resource"
	"github.com/celeryyard/celeryyard/plugin/load"
)

func init() { registerScenario("commit-rate", measureCommitRate) }

// measureCommitRate measures how many changes per second a quorum of three voters with disks
// accepts from one operator and from several concurrent operators.
func measureCommitRate(e *env) error {
	// Raise the rate limit of each organisation, so that the journal is the bottleneck.
	f, err := newFleet(e, fleetOptions{nodes: 3, controlSettings: map[string]map[string]any{
		"operator": {"change_rate": 1e6, "change_burst": 1_000_000},
	}})
	defer func() { _ = f.stop() }()
	if err != nil {
		return err
	}
	for _, concurrency := range []int{1, 8, 32} {
		if err := f.measureCommits(concurrency); err != nil {
			return errors.Wrapf(err, "%d operators", concurrency)
		}
	}
	return nil
}

// commitWorker is one operator that repeatedly revises a team of its own.
type commitWorker struct {
	operator *operatorClient
	team     layout.Service
	// changes counts the accepted changes.
	changes int
	// durations holds, in microseconds, how long each accepted change took from its submission until
	// the operator received the decision, including resends.
	durations *hdrhistogram.Histogram
}

// measureCommits runs the given number of concurrent operators and reports how many changes per
// second are accepted from all of them together.
func (f *fleet) measureCommits(concurrency int) error {
	workers := make([]*commitWorker, concurrency)
	for i := range workers {
		worker := &commitWorker{operator: newOperatorClient(f.plan), durations: load.NewHistogram()}
		worker.operator.lastID, worker.operator.addressIndex = (concurrency*100+i)*1_000_000, i
		worker.team = layout.Service{Name: fmt.Sprintf("team-%d-%d", concurrency, i), Organisation: "tacto-norte"}
		if err := worker.operator.put(f.e, worker.team.Organisation, "team", worker.team.Name, layout.Team(worker.team, 5000, nil)); err != nil {
			return err
		}
		workers[i] = worker
	}
	var wg sync.WaitGroup
	errs := make([]error, concurrency)
	started := time.Now()
	for i, worker := range workers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			errs[i] = worker.run(f.e, started)
		}()
	}
	wg.Wait()
	seconds := time.Since(started).Seconds()
	changes, undecided, durations, lastVersion := 0, 0, load.NewHistogram(), resource.Version(0)
	for i, worker := range workers {
		if errs[i] != nil {
			return errs[i]
		}
		changes += worker.changes
		undecided += worker.operator.undecidedAttempts
		durations.Merge(worker.durations)
		lastVersion = max(lastVersion, worker.operator.lastVersion)
	}
	quantiles, caseName := load.NewQuantiles(durations), fmt.Sprintf("%d operators at a time", concurrency)
	f.e.addFigure(caseName, "3 voters", "accepted changes", float64(changes)/seconds, "1/s", 0, changes)
	f.e.addFigure(caseName, "3 voters", "time of a change p50", quantiles.P50, "ms", 0, changes)
	f.e.addFigure(caseName, "3 voters", "time of a change p99", quantiles.P99, "ms", 0, changes)
	f.e.addFigure(caseName, "3 voters", "attempts without a decision", percent(undecided, changes), "% of changes", 0, changes)
	return f.waitForVersion(lastVersion, convergenceTimeout)
}

// run submits one revision after another until the measurement time has passed since runStart.
func (c *commitWorker) run(e *env, runStart time.Time) error {
	for time.Since(runStart) < e.s.Duration.AsDuration() {
		changeStart := time.Now()
		body := layout.Team(c.team, 5001+c.changes, nil)
		if err := c.operator.revise(e, c.team.Organisation, "team", c.team.Name, body); err != nil {
			return err
		}
		c.changes++
		_ = c.durations.RecordValue(time.Since(changeStart).Microseconds())
	}
	return nil
}
