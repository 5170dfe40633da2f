package experiment

import (
	"fmt"
	"math"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/celeryyard/celeryyard/plugin/load"
)

// loadSlack bounds the time of a load run beyond its duration.
const loadSlack = 90 * time.Second

// loadRun runs the load generator in a kernel of its own and returns its result.
func (e *env) loadRun(name string, section map[string]any) (*load.Result, error) {
	section["seed"] = e.s.Seed
	if section["duration"] == nil {
		section["duration"] = e.s.Duration
	}
	p, err := e.process(name, Programs.Load, map[string]any{
		"instance": map[string]any{"name": name, "log_level": "error"}, "load": section,
	})
	if err != nil {
		return nil, err
	}
	if err := p.start(false, nil); err != nil {
		return nil, err
	}
	defer func() { _ = p.stop() }()
	l, err := service[*load.Load](p, "load")
	if err != nil {
		return nil, err
	}
	select {
	case <-l.Done():
	case <-e.ctx.Done():
		return nil, e.ctx.Err()
	case <-time.After(e.s.Duration.D() + loadSlack):
		return nil, errors.Newf("load run %s does not end", name)
	}
	return l.Result(), nil
}

// organisation is one element of load/organisations.
func organisation(name, host string, weight float64) map[string]any {
	return map[string]any{"name": name, "host": host, "path": "/", "weight": weight}
}

// failedChecks returns an error that names the checks that a run failed.
func failedChecks(r *load.Result) error {
	text := ""
	for _, c := range r.Checks {
		if !c.OK {
			text += fmt.Sprintf("%s: %s; ", c.Name, c.Detail)
		}
	}
	if text == "" {
		return nil
	}
	return errors.Newf("run %s: %s", r.Run, text)
}

// groupOf returns the calls of one organisation and kind; zero without any.
func groupOf(r *load.Result, organisation string, kind load.Kind) load.Group {
	for _, g := range r.Groups {
		if g.Organisation == organisation && g.Kind == kind {
			return g
		}
	}
	return load.Group{}
}

// median returns the middle of the values; NaN without any.
func median(values []float64) float64 {
	if len(values) == 0 {
		return math.NaN()
	}
	s := append([]float64(nil), values...)
	for i := range s {
		for j := i; j > 0 && s[j] < s[j-1]; j-- {
			s[j], s[j-1] = s[j-1], s[j]
		}
	}
	return s[len(s)/2]
}
