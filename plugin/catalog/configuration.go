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

// configurationEntry is the last accepted whole configuration. It is immutable.
type configurationEntry struct {
	// version is the catalog version at which the configuration was accepted.
	version resource.Version
	config  *resource.Configuration
}

// encodedConfiguration is the encoded form of a configurationEntry.
type encodedConfiguration struct {
	Version resource.Version        `json:"version"`
	Config  *resource.Configuration `json:"config"`
}

// decideConfiguration accepts a whole configuration, or a patch, if its base is the
// configuration in force, and refuses it otherwise. So of two configurations with the same
// base, the first one in the log is accepted.
func (s *state) decideConfiguration(c *change.Change) change.Outcome {
	result, r := s.decodeNextConfiguration(c)
	if r != nil {
		return s.refuse(c, r)
	}
	s.version++
	var touched []touchedResource
	if result.ServicesChanged {
		touched = s.commitTeam(resource.ConfigurationTeam, newConfigurationTeam(result.Next))
	} else {
		touched = s.commitPatch(result)
	}
	s.configuration = &configurationEntry{version: s.version, config: result.Next}
	s.history.add(s.version, touched)
	return change.Outcome{ID: c.ID, State: change.StateAccepted, Version: s.version, Revision: result.Next.Number}
}

// decodeNextConfiguration decodes the configuration in a change, which is either complete or a
// patch of the configuration in force.
func (s *state) decodeNextConfiguration(c *change.Change) (*resource.PatchResult, *change.Refusal) {
	current := s.configurationNumber()
	if c.Action == change.ActionPut {
		next, err := resource.DecodeConfiguration(c.Body)
		if err != nil {
			return nil, newRefusal(change.ReasonMalformed, "%v", err)
		}
		if next.Base != current {
			return nil, newSupersededRefusal(current, next.Base)
		}
		return &resource.PatchResult{Next: next, ServicesChanged: true}, nil
	}
	p, err := resource.DecodePatch(c.Body)
	if err != nil {
		return nil, newRefusal(change.ReasonMalformed, "%v", err)
	}
	if p.Base != current || s.configuration == nil {
		return nil, newSupersededRefusal(current, p.Base)
	}
	result, err := p.Apply(s.configuration.config)
	if err != nil {
		return nil, newRefusal(change.ReasonMalformed, "%v", err)
	}
	return result, nil
}

// commitPatch replaces only the routes that a patch changes, and returns the changed
// resources. The result is the same as that of commitTeam with the expansion of the whole
// configuration. With thousands of routes, that expansion would take most of the time of a
// change, and a restarted instance applies all changes since its snapshot.
func (s *state) commitPatch(result *resource.PatchResult) []touchedResource {
	old := s.teams[resource.ConfigurationTeam]
	byKey := map[resource.Key]touchedResource{}
	for i := range result.Removed {
		key := result.Removed[i].Key()
		byKey[key] = touchedResource{Key: key, Before: s.service(s.resources[key])}
	}
	for i := range result.Added {
		key := result.Added[i].Key()
		next := &resource.Resource{Route: result.Added[i].Expand()}
		t, wasRemoved := byKey[key]
		if wasRemoved && equalContent(s.resources[key], next) {
			delete(byKey, key)
			continue
		}
		t.Key, t.next = key, next
		byKey[key] = t
	}
	var touched []touchedResource
	for _, t := range byKey {
		touched = append(touched, t)
	}
	sort.Slice(touched, func(i, j int) bool { return lessKey(touched[i].Key, touched[j].Key) })
	s.commitResources(touched)
	s.teams[resource.ConfigurationTeam] = &teamEntry{
		Team: old.Team, Revision: uint64(s.version), expansion: &resource.Expansion{Clusters: old.expansion.Clusters, Routes: mergeRoutes(old.expansion.Routes, touched)},
	}
	return touched
}

// mergeRoutes returns routes with the touched ones replaced, added or removed. Both arguments
// and the result are sorted by name.
func mergeRoutes(routes []*resource.Route, touched []touchedResource) []*resource.Route {
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

// newSupersededRefusal returns the refusal of a configuration whose base is not the
// configuration in force.
func newSupersededRefusal(current, base uint64) *change.Refusal {
	return newRefusal(change.ReasonRevisionMismatch, "configuration %d is in force, not %d", current, base)
}

func newConfigurationTeam(c *resource.Configuration) *teamEntry {
	team := &resource.Team{Name: resource.ConfigurationTeam, Organisation: resource.ConfigurationTeam}
	return &teamEntry{Team: team, expansion: c.Expand()}
}

// configurationNumber returns the number that the operator gave to the configuration in
// force; 0 before the first one.
func (s *state) configurationNumber() uint64 {
	if s.configuration == nil {
		return 0
	}
	return s.configuration.config.Number
}

// loadConfiguration restores the configuration and its resources.
func (s *state) loadConfiguration(snapshot *encodedSnapshot) error {
	e := snapshot.Configuration
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

// Configuration returns the whole configuration in force; nil before the first one. The
// caller must not modify it.
func (cat *Catalog) Configuration() *resource.Configuration {
	cat.mu.RLock()
	defer cat.mu.RUnlock()
	if cat.state.configuration == nil {
		return nil
	}
	return cat.state.configuration.config
}

// decidedConfiguration returns the decision on a configuration that the entries applied so far determine: it was accepted, or
// its base is no longer in force. A base never comes into force again, as the numbers of configurations rise, and the log
// has no use for the configuration, which may be long and is sent again for each acknowledgement that is lost.
func (cat *Catalog) decidedConfiguration(id string, next *resource.Configuration) (out change.Outcome, decided bool) {
	cat.mu.RLock()
	defer cat.mu.RUnlock()
	if r, known := cat.state.records.find(id); known && r.Kind == change.KindConfiguration {
		return r.Outcome, true
	}
	current := cat.state.configurationNumber()
	if current <= next.Base {
		return change.Outcome{}, false
	}
	r := newSupersededRefusal(current, next.Base)
	return change.Outcome{ID: id, State: change.StateRefused, Revision: current, Reason: r.Reason, Text: r.Text}, true
}

// SubmitConfiguration proposes a whole configuration on behalf of an operator. id must be
// derived from the content of next, so that a resend gets the answer to the first submission.
// If the base of next is the configuration in force on this instance, only the difference
// is replicated, and nothing is if the entry would change nothing. done is called as by Submit.
func (cat *Catalog) SubmitConfiguration(id, operator string, next *resource.Configuration, timeout time.Duration, done func(change.Outcome, error)) {
	if out, decided := cat.decidedConfiguration(id, next); decided {
		done(out, nil)
		return
	}
	c := &change.Change{
		ID: id, Operator: operator, Organisation: operator, Kind: change.KindConfiguration, Action: change.ActionPut, Name: "configuration",
	}
	var err error
	if base := cat.Configuration(); base != nil && base.Number == next.Base {
		c.Action, c.ExpectedRevision = change.ActionRevise, base.Number
		c.Body, err = json.Marshal(resource.NewPatch(base, next))
	} else {
		c.Body, err = json.Marshal(next)
	}
	if err != nil {
		done(change.Outcome{}, verdict.Wrap(verdict.NotRun, err))
		return
	}
	cat.Submit(c, timeout, done)
}
