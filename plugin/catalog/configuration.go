package catalog

import (
	"sort"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-json-experiment/json"

	"github.com/celeryyard/celeryyard/core/change"
	"github.com/celeryyard/celeryyard/core/resource"
	"github.com/celeryyard/celeryyard/core/verdict"
)

// configurationEntry is the whole configuration that was accepted last. It is
// immutable.
type configurationEntry struct {
	// version is the version that it made.
	version resource.Version
	config  *resource.Configuration
}

// configurationForm is its encoding.
type configurationForm struct {
	Version resource.Version        `json:"version"`
	Config  *resource.Configuration `json:"config"`
}

// decideConfiguration accepts a whole configuration that was derived from the one
// in force, or refuses it. Of two that build on the same one, the first in the log
// is accepted.
func (s *state) decideConfiguration(c *change.Change) change.Outcome {
	step, r := s.nextConfiguration(c)
	if r != nil {
		return s.refuse(c, r)
	}
	s.version++
	var touched []touch
	if step.Services {
		touched = s.commitTeam(resource.ConfigurationTeam, newConfigurationTeam(step.Next))
	} else {
		touched = s.commitStep(step)
	}
	s.configuration = &configurationEntry{version: s.version, config: step.Next}
	s.history.add(s.version, touched)
	return change.Outcome{ID: c.ID, State: change.StateAccepted, Version: s.version, Revision: step.Next.Number}
}

// nextConfiguration works out the configuration that a change asks for: the whole
// of it, or a patch of the one in force.
func (s *state) nextConfiguration(c *change.Change) (*resource.Step, *change.Refusal) {
	current := s.configurationNumber()
	if c.Action == change.ActionPut {
		next, err := resource.DecodeConfiguration(c.Body)
		if err != nil {
			return nil, refusal(change.ReasonMalformed, "%v", err)
		}
		if next.Base != current {
			return nil, superseded(current, next.Base)
		}
		return &resource.Step{Next: next, Services: true}, nil
	}
	p, err := resource.DecodePatch(c.Body)
	if err != nil {
		return nil, refusal(change.ReasonMalformed, "%v", err)
	}
	if p.Base != current || s.configuration == nil {
		return nil, superseded(current, p.Base)
	}
	step, err := p.Apply(s.configuration.config)
	if err != nil {
		return nil, refusal(change.ReasonMalformed, "%v", err)
	}
	return step, nil
}

// commitStep replaces the routes of the configuration that differ and returns the
// keys that changed. Its result is that of commitTeam with the expansion of the whole
// configuration; with thousands of routes that takes most of a change's time, and a
// restarted instance applies all changes since its snapshot.
func (s *state) commitStep(step *resource.Step) []touch {
	old := s.teams[resource.ConfigurationTeam]
	touches := map[resource.Key]touch{}
	for i := range step.Removed {
		key := step.Removed[i].Key()
		touches[key] = touch{Key: key, Before: s.service(s.resources[key])}
	}
	for i := range step.Added {
		key := step.Added[i].Key()
		next := &resource.Resource{Route: step.Added[i].Expand()}
		t, known := touches[key]
		if known && equal(s.resources[key], next) {
			delete(touches, key)
			continue
		}
		t.Key, t.next = key, next
		touches[key] = t
	}
	var touched []touch
	for _, t := range touches {
		touched = append(touched, t)
	}
	sort.Slice(touched, func(i, j int) bool { return less(touched[i].Key, touched[j].Key) })
	s.commitTouched(touched)
	s.teams[resource.ConfigurationTeam] = &teamEntry{
		Team: old.Team, Revision: uint64(s.version), out: &resource.Expansion{Clusters: old.out.Clusters, Routes: merged(old.out.Routes, touched)},
	}
	return touched
}

// merged returns a list of routes in the order of their names after touches in the
// same order.
func merged(routes []*resource.Route, touched []touch) []*resource.Route {
	out := make([]*resource.Route, 0, len(routes)+len(touched))
	for _, r := range routes {
		for len(touched) > 0 && touched[0].Name < r.Name {
			if touched[0].next != nil {
				out = append(out, touched[0].next.Route)
			}
			touched = touched[1:]
		}
		if len(touched) > 0 && touched[0].Name == r.Name {
			continue // replaced or removed
		}
		out = append(out, r)
	}
	for _, t := range touched {
		if t.next != nil {
			out = append(out, t.next.Route)
		}
	}
	return out
}

func superseded(current, base uint64) *change.Refusal {
	return refusal(change.ReasonRevision, "configuration %d is in force, not %d", current, base)
}

func newConfigurationTeam(c *resource.Configuration) *teamEntry {
	team := &resource.Team{Name: resource.ConfigurationTeam, Organisation: resource.ConfigurationTeam}
	return &teamEntry{Team: team, out: c.Expand()}
}

// configurationNumber returns the operators' number of the configuration in force;
// 0 before the first one.
func (s *state) configurationNumber() uint64 {
	if s.configuration == nil {
		return 0
	}
	return s.configuration.config.Number
}

// loadConfiguration restores the configuration and its resources.
func (s *state) loadConfiguration(f *snapshotForm) error {
	e := f.Configuration
	if e == nil {
		return nil
	}
	if e.Config == nil {
		return errors.New("configuration is missing")
	}
	if err := e.Config.Validate(); err != nil {
		return errors.Wrap(err, "configuration")
	}
	if err := s.checkVersion("configuration", resource.ConfigurationTeam, uint64(e.Version)); err != nil {
		return err
	}
	version := s.version
	s.version = e.Version
	s.commitTeam(resource.ConfigurationTeam, newConfigurationTeam(e.Config))
	s.version, s.configuration = version, &configurationEntry{version: e.Version, config: e.Config}
	return nil
}

// Configuration returns the whole configuration that is in force, which must not be
// changed; nil before the first one.
func (t *Catalog) Configuration() *resource.Configuration {
	t.mu.RLock()
	defer t.mu.RUnlock()
	if t.s.configuration == nil {
		return nil
	}
	return t.s.configuration.config
}

// SubmitConfiguration proposes a whole configuration on behalf of an operator. id
// must follow from its content, so that a resend finds the first answer. When it
// builds on the configuration in force here, only the difference is replicated.
// done is called as by Submit.
func (t *Catalog) SubmitConfiguration(id, operator string, next *resource.Configuration, timeout time.Duration, done func(change.Outcome, error)) {
	c := &change.Change{
		ID: id, Operator: operator, Organisation: operator, Kind: change.KindConfiguration, Action: change.ActionPut, Name: "configuration",
	}
	var err error
	if base := t.Configuration(); base != nil && base.Number == next.Base {
		c.Action, c.ExpectedRevision = change.ActionRevise, base.Number
		c.Body, err = json.Marshal(resource.PatchOf(base, next))
	} else {
		c.Body, err = json.Marshal(next)
	}
	if err != nil {
		done(change.Outcome{}, verdict.Wrap(verdict.NotRun, err))
		return
	}
	t.Submit(c, timeout, done)
}
