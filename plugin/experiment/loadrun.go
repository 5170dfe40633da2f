package experiment

import (
	"fmt"
	"math"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/celeryyard/celeryyard/plugin/load"
)

// loadOverrunTimeout is the maximum time that a load run may take beyond its duration; after it the
// scenario fails.
const loadOverrunTimeout = 90 * time.Second

// runLoad runs the load generator in its own kernel, with the given section "load" of the settings,
// and returns the result of the run.
func (e *env) runLoad(name string, section map[string]any) (*load.Result, error) {
	section["seed"] = e.s.Seed
	if section["duration"] == nil {
		section["duration"] = e.s.Duration
	}
	p, err := e.newProcess(name, ProgramPlugins.Load, map[string]any{
		"instance": map[string]any{"name": name, "log_level": "error"}, "load": section,
	})
	if err != nil {
		return nil, err
	}
	if err := p.start(false, nil); err != nil {
		return nil, err
	}
	defer func() { _ = p.stop() }()
	l, err := pluginService[*load.Load](p, "load")
	if err != nil {
		return nil, err
	}
	select {
	case <-l.Done():
	case <-e.ctx.Done():
		return nil, e.ctx.Err()
	case <-time.After(e.s.Duration.AsDuration() + loadOverrunTimeout):
		return nil, errors.Newf("load run %s did not end in time", name)
	}
	return l.Result(), nil
}

// organisationLoad returns one element of the setting load/organisations.
func organisationLoad(name, host string, weight float64) map[string]any {
	return map[string]any{"name": name, "host": host, "path": "/", "weight": weight}
}

// checksError returns an error that names the failed checks of a run, or nil.
func checksError(r *load.Result) error {
	text := ""
	for _, c := range r.Checks {
		if !c.OK {
			text += fmt.Sprintf("%s: %s; ", c.Name, c.Detail)
		}
	}
	if text == "" {
		return nil
	}
	return errors.Newf("checks of load run %s failed: %s", r.Run, text)
}

// findGroup returns the first group of the result with the given organisation and kind, or an empty
// group if there is none.
func findGroup(r *load.Result, organisation string, kind load.Kind) load.Group {
	for _, g := range r.Groups {
		if g.Organisation == organisation && g.Kind == kind {
			return g
		}
	}
	return load.Group{}
}

// median returns the median of values. For an even number of values it returns the upper one of the
// two middle values, and for none NaN.
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
