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

func init() { register("commit-rate", commitRate) }

// commitRate measures how many changes a second a quorum of three disks accepts,
// from one operator after another and from several at a time.
func commitRate(e *env) error {
	// The journal is measured, not the bound of changes for each organisation.
	f, err := newFleet(e, fleetOptions{nodes: 3, control: map[string]map[string]any{
		"operator": {"change_rate": 1e6, "change_burst": 1_000_000},
	}})
	defer func() { _ = f.stop() }()
	if err != nil {
		return err
	}
	for _, clients := range []int{1, 8, 32} {
		if err := f.commits(clients); err != nil {
			return errors.Wrapf(err, "%d operators", clients)
		}
	}
	return nil
}

// client is one operator with a team of its own.
type client struct {
	ops       *operators
	team      layout.Service
	changes   int
	durations *hdrhistogram.Histogram
}

func (f *fleet) commits(clients int) error {
	list := make([]*client, clients)
	for i := range list {
		c := &client{ops: newOperators(f.plan), durations: load.Histogram()}
		c.ops.seq, c.ops.next = (clients*100+i)*1_000_000, i
		c.team = layout.Service{Name: fmt.Sprintf("team-%d-%d", clients, i), Organisation: "tacto-norte"}
		if err := c.ops.put(f.e, c.team.Organisation, "team", c.team.Name, layout.Team(c.team, 5000, nil)); err != nil {
			return err
		}
		list[i] = c
	}
	var wg sync.WaitGroup
	errs := make([]error, clients)
	started := time.Now()
	for i, c := range list {
		wg.Add(1)
		go func() {
			defer wg.Done()
			errs[i] = c.run(f.e, started)
		}()
	}
	wg.Wait()
	seconds := time.Since(started).Seconds()
	changes, resends, h, last := 0, 0, load.Histogram(), resource.Version(0)
	for i, c := range list {
		if errs[i] != nil {
			return errs[i]
		}
		changes += c.changes
		resends += c.ops.resends
		h.Merge(c.durations)
		last = max(last, c.ops.version)
	}
	q, kase := load.QuantilesOf(h), fmt.Sprintf("%d operators at a time", clients)
	f.e.add(kase, "3 voters", "accepted changes", float64(changes)/seconds, "1/s", 0, changes)
	f.e.add(kase, "3 voters", "time of a change p50", q.P50, "ms", 0, changes)
	f.e.add(kase, "3 voters", "time of a change p99", q.P99, "ms", 0, changes)
	f.e.add(kase, "3 voters", "attempts without a decision", percent(resends, changes), "% of changes", 0, changes)
	return f.converge(last, convergeLimit)
}

func (c *client) run(e *env, started time.Time) error {
	for time.Since(started) < e.s.Duration.D() {
		begin := time.Now()
		body := layout.Team(c.team, 5001+c.changes, nil)
		if err := c.ops.revise(e, c.team.Organisation, "team", c.team.Name, body); err != nil {
			return err
		}
		c.changes++
		_ = c.durations.RecordValue(time.Since(begin).Microseconds())
	}
	return nil
}
