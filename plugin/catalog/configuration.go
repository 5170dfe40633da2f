package catalog

import (
	"github.com/cockroachdb/errors"
	"github.com/go-json-experiment/json/jsontext"

	"github.com/celeryyard/celeryyard/core/change"
	"github.com/celeryyard/celeryyard/core/resource"
)

// configurationEntry is the whole configuration that was accepted last. It is
// immutable.
type configurationEntry struct {
	// Number is the operators' number of it.
	Number uint64 `json:"number"`
	// Version is the version that it made.
	Version resource.Version `json:"version"`
	Body    jsontext.Value   `json:"body"`
}

// decideConfiguration accepts a whole configuration that was derived from the one
// in force, or refuses it. Of two that build on the same one, the first in the log
// is accepted.
func (s *state) decideConfiguration(c *change.Change) change.Outcome {
	next, err := resource.DecodeConfiguration(c.Body)
	if err != nil {
		return s.refuse(c, refusal(change.ReasonMalformed, "%v", err))
	}
	current := s.configurationNumber()
	if next.Base != current {
		return s.refuse(c, refusal(change.ReasonRevision, "configuration %d is in force, not %d", current, next.Base))
	}
	s.version++
	touched := s.commitTeam(resource.ConfigurationTeam, newConfigurationTeam(next))
	s.configuration = &configurationEntry{Number: next.Number, Version: s.version, Body: c.Body}
	s.history.add(s.version, touched)
	return change.Outcome{ID: c.ID, State: change.StateAccepted, Version: s.version, Revision: next.Number}
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
	return s.configuration.Number
}

// loadConfiguration restores the configuration and its resources.
func (s *state) loadConfiguration(f *snapshotForm) error {
	e := f.Configuration
	if e == nil {
		return nil
	}
	c, err := resource.DecodeConfiguration(e.Body)
	if err != nil {
		return errors.Wrap(err, "configuration")
	}
	if c.Number != e.Number {
		return errors.Newf("configuration has number %d instead of %d", c.Number, e.Number)
	}
	if err := s.checkVersion("configuration", resource.ConfigurationTeam, uint64(e.Version)); err != nil {
		return err
	}
	version := s.version
	s.version = e.Version
	s.commitTeam(resource.ConfigurationTeam, newConfigurationTeam(c))
	s.version, s.configuration = version, e
	return nil
}

// Configuration returns the body of the whole configuration that is in force and
// its number; 0 before the first one. The body must not be changed.
func (t *Catalog) Configuration() (number uint64, body []byte) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	if t.s.configuration == nil {
		return 0, nil
	}
	return t.s.configuration.Number, t.s.configuration.Body
}
