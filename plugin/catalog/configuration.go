package catalog

import (
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
	next, r := s.nextConfiguration(c)
	if r != nil {
		return s.refuse(c, r)
	}
	s.version++
	touched := s.commitTeam(resource.ConfigurationTeam, newConfigurationTeam(next))
	s.configuration = &configurationEntry{version: s.version, config: next}
	s.history.add(s.version, touched)
	return change.Outcome{ID: c.ID, State: change.StateAccepted, Version: s.version, Revision: next.Number}
}

// nextConfiguration works out the configuration that a change asks for: the whole
// of it, or a patch of the one in force.
func (s *state) nextConfiguration(c *change.Change) (*resource.Configuration, *change.Refusal) {
	current := s.configurationNumber()
	if c.Action == change.ActionPut {
		next, err := resource.DecodeConfiguration(c.Body)
		if err != nil {
			return nil, refusal(change.ReasonMalformed, "%v", err)
		}
		if next.Base != current {
			return nil, superseded(current, next.Base)
		}
		return next, nil
	}
	p, err := resource.DecodePatch(c.Body)
	if err != nil {
		return nil, refusal(change.ReasonMalformed, "%v", err)
	}
	if p.Base != current || s.configuration == nil {
		return nil, superseded(current, p.Base)
	}
	next, err := p.Apply(s.configuration.config)
	if err != nil {
		return nil, refusal(change.ReasonMalformed, "%v", err)
	}
	return next, nil
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
