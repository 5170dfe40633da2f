package catalog

import (
	"sort"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-json-experiment/json"

	"github.com/celeryyard/celeryyard/core/change"
	"github.com/celeryyard/celeryyard/core/resource"
	"github.com/celeryyard/celeryyard/core/verdict"
	"github.com/celeryyard/celeryyard/kernel/pool"
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

// commitPatch replaces only the routes and callers that a patch changes, and returns the changed
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
	next := &resource.Expansion{
		Clusters: old.expansion.Clusters, Routes: mergeRoutes(old.expansion.Routes, touched), Callers: old.expansion.Callers,
	}
	if result.CallersChanged {
		var touchedCallers []touchedResource
		next.Callers, touchedCallers = mergeCallers(old.expansion.Callers, result.Next.ExpandCallers())
		touched = append(touchedCallers, touched...) // callers precede routes in the order of lessKey
	}
	s.commitResources(touched)
	s.teams[resource.ConfigurationTeam] = &teamEntry{Team: old.Team, Revision: uint64(s.version), expansion: next}
	return touched
}

// mergeCallers returns next, with the callers of old that are equal, and the changed resources. All lists are sorted by name.
func mergeCallers(old, next []*resource.Caller) (merged []*resource.Caller, touched []touchedResource) {
	key := func(c *resource.Caller) resource.Key {
		return resource.Key{Kind: resource.KindCaller, Name: c.Name}
	}
	for _, n := range next {
		for len(old) > 0 && old[0].Name < n.Name {
			touched = append(touched, touchedResource{Key: key(old[0]), Before: allServices})
			old = old[1:]
		}
		t := touchedResource{Key: key(n)}
		if len(old) > 0 && old[0].Name == n.Name {
			if old[0].Equal(n) {
				merged, old = append(merged, old[0]), old[1:]
				continue
			}
			t.Before, old = allServices, old[1:]
		}
		t.next = &resource.Resource{Caller: n}
		merged, touched = append(merged, n), append(touched, t)
	}
	for _, o := range old {
		touched = append(touched, touchedResource{Key: key(o), Before: allServices})
	}
	return merged, touched
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
func (s *state) decidedConfiguration(id string, base uint64) (out change.Outcome, decided bool) {
	if r, known := s.records.find(id); known && r.Kind == change.KindConfiguration {
		return r.Outcome, true
	}
	if s.configurationNumber() <= base {
		return change.Outcome{}, false
	}
	return s.supersededOutcome(id, base), true
}

// supersededOutcome returns the refusal of a configuration whose base is not the configuration in force.
func (s *state) supersededOutcome(id string, base uint64) change.Outcome {
	current := s.configurationNumber()
	r := newSupersededRefusal(current, base)
	return change.Outcome{ID: id, State: change.StateRefused, Revision: current, Reason: r.Reason, Text: r.Text}
}

// configurationsKey is the key of the jobs that decide on submitted configurations.
const configurationsKey = "catalog/configurations"

// SubmitConfiguration decides on a whole configuration on behalf of an operator. id must be
// derived from the content of next, so that a resend gets the answer to the first submission.
// A configuration that the state decides enters no log; neither does one whose base is not in force after all entries
// that were committed at the submission. Others are proposed one after the other, as the difference to their base. done is
// called as by Submit, but maybe before SubmitConfiguration returns. The caller must not modify next.
func (cat *Catalog) SubmitConfiguration(id, operator string, next *resource.Configuration, timeout time.Duration, done func(change.Outcome, error)) {
	s := &submission{
		id: id, operator: operator, base: next.Base, next: next, deadline: cat.c.Clock.Now().Add(timeout), done: []func(change.Outcome, error){done},
	}
	cat.mu.Lock()
	cat.queue.add(s)
	cat.mu.Unlock()
	cat.advanceConfigurations()
}

// advanceConfigurations answers the submissions that are decided and proposes the next one.
func (cat *Catalog) advanceConfigurations() {
	cat.mu.Lock()
	now := cat.c.Clock.Now()
	work := cat.queue.advance(cat.state, now)
	cat.mu.Unlock()
	for i := range work.answers {
		work.answers[i].deliver()
	}
	for _, w := range work.confirm {
		cat.log.Barrier(w.deadline.Sub(now), func(err error) {
			cat.endSubmission(func() *answer { return cat.queue.endBarrier(w, err) })
		})
	}
	if p := work.propose; p != nil {
		cat.proposeConfiguration(p, work.base, p.deadline.Sub(now))
	}
}

// endSubmission calls end with mu held, delivers its answer and proposes the next configuration in a job.
func (cat *Catalog) endSubmission(end func() *answer) {
	cat.mu.Lock()
	a := end()
	cat.mu.Unlock()
	if a != nil {
		a.deliver()
	}
	cat.scheduleConfigurations()
}

func (cat *Catalog) scheduleConfigurations() {
	if err := cat.c.TryGo(configurationsKey, cat.advanceConfigurations); errors.Is(err, pool.ErrFull) {
		cat.c.RunAfter(notifyRetryDelay, configurationsKey, cat.advanceConfigurations)
	}
}

func (cat *Catalog) proposeConfiguration(p *submission, base *resource.Configuration, timeout time.Duration) {
	c := &change.Change{
		ID: p.id, Operator: p.operator, Organisation: p.operator, Kind: change.KindConfiguration, Action: change.ActionPut, Name: "configuration",
	}
	var err error
	if base != nil {
		c.Action, c.ExpectedRevision = change.ActionRevise, base.Number
		c.Body, err = json.Marshal(resource.NewPatch(base, p.next))
	} else {
		c.Body, err = json.Marshal(p.next)
	}
	p.next = nil
	end := func(out change.Outcome, err error) {
		cat.endSubmission(func() *answer { return cat.queue.endProposal(p, out, err) })
	}
	if err != nil {
		end(change.Outcome{}, verdict.Wrap(verdict.NotRun, err))
		return
	}
	cat.Submit(c, timeout, end)
}
