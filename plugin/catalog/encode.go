package catalog

import (
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/go-json-experiment/json"

	"github.com/celeryyard/celeryyard/core/change"
	"github.com/celeryyard/celeryyard/core/resource"
)

// snapshotFormat is the version of the snapshot encoding. Increment it when the encoding
// changes; a snapshot of a different version is refused.
const snapshotFormat = 1

// entry is one entry of the replicated log.
type entry struct {
	// Time is when the change was proposed, in Unix milliseconds of the proposer's clock.
	Time   int64          `json:"t"`
	Change *change.Change `json:"c"`
}

func encodeEntry(e entry) ([]byte, error) { return json.Marshal(e) }

func decodeEntry(data []byte) (entry, error) {
	var e entry
	if err := json.Unmarshal(data, &e, json.RejectUnknownMembers(true)); err != nil {
		return entry{}, errors.Wrap(err, "catalog entry")
	}
	if e.Change == nil {
		return entry{}, errors.New("catalog entry has no change")
	}
	return e, nil
}

// encodedSnapshot is the encoded form of the state. Claims on hosts, expansions and the index
// of records by change ID are derived from the other fields.
type encodedSnapshot struct {
	Format    int                  `json:"format"`
	Version   resource.Version     `json:"version"`
	Templates []*templateEntry     `json:"templates"`
	Teams     []*teamEntry         `json:"teams"`
	Resources []*resource.Resource `json:"resources"`
	// Configuration also represents the resources that are derived from it.
	Configuration *encodedConfiguration `json:"configuration,omitempty"`
	// Steps is the history, oldest first.
	Steps []historyStep `json:"steps"`
	// Last is the Seq of the newest record.
	Last    uint64          `json:"last"`
	Records []change.Record `json:"records"`
}

// encode returns the encoded state. Equal states have equal encodings.
func (s *state) encode() ([]byte, error) {
	snapshot := encodedSnapshot{
		Format: snapshotFormat, Version: s.version, Steps: s.history.steps, Last: s.records.lastSeq, Records: s.records.list,
	}
	if c := s.configuration; c != nil {
		snapshot.Configuration = &encodedConfiguration{Version: c.version, Config: c.config}
	}
	for _, name := range sortedNames(s.templates) {
		snapshot.Templates = append(snapshot.Templates, s.templates[name])
	}
	for _, name := range sortedNames(s.teams) {
		if name != resource.ConfigurationTeam {
			snapshot.Teams = append(snapshot.Teams, s.teams[name])
		}
	}
	for _, key := range sortedKeys(s.resources) {
		if r := s.resources[key]; !isFromConfiguration(r) {
			snapshot.Resources = append(snapshot.Resources, r)
		}
	}
	return json.Marshal(snapshot, json.Deterministic(true))
}

// isFromConfiguration reports whether a resource is derived from the whole configuration.
func isFromConfiguration(r *resource.Resource) bool {
	team, _ := r.Owner()
	return team == resource.ConfigurationTeam
}

// decodeState decodes a state. It checks limits, versions and references, so that a
// damaged snapshot is refused as a whole.
func decodeState(data []byte) (*state, error) {
	var snapshot encodedSnapshot
	if err := json.Unmarshal(data, &snapshot, json.RejectUnknownMembers(true)); err != nil {
		return nil, errors.Wrap(err, "catalog snapshot")
	}
	if snapshot.Format != snapshotFormat {
		return nil, errors.Newf("catalog snapshot has format %d, this program reads %d", snapshot.Format, snapshotFormat)
	}
	s := newState()
	s.version = snapshot.Version
	for _, load := range []func(*encodedSnapshot) error{s.loadTemplates, s.loadTeams, s.loadResources, s.loadReferences, s.loadConfiguration, s.loadHistory, s.loadRecords} {
		if err := load(&snapshot); err != nil {
			return nil, errors.Wrap(err, "catalog snapshot")
		}
	}
	return s, nil
}

func (s *state) checkVersion(subject, name string, v uint64) error {
	if v == 0 || v > uint64(s.version) {
		return errors.Newf("%s %q has version %d outside 1..%d", subject, name, v, s.version)
	}
	return nil
}

func (s *state) loadTemplates(snapshot *encodedSnapshot) error {
	for _, t := range snapshot.Templates {
		if t == nil || t.Template == nil {
			return errors.New("template is missing")
		}
		name := t.Template.Name
		if err := t.Template.Validate(); err != nil {
			return errors.Wrapf(err, "template %q", name)
		}
		if err := s.checkVersion("template", name, t.Revision); err != nil {
			return err
		}
		if s.templates[name] != nil {
			return errors.Newf("template %q is listed twice", name)
		}
		s.templates[name] = t
	}
	if len(s.templates) > maxTemplates {
		return errors.Newf("%d templates are above the limit of %d", len(s.templates), maxTemplates)
	}
	return nil
}

func (s *state) loadTeams(snapshot *encodedSnapshot) error {
	for _, t := range snapshot.Teams {
		if t == nil || t.Team == nil {
			return errors.New("team is missing")
		}
		name := t.Team.Name
		if err := t.Team.Validate(); err != nil {
			return errors.Wrapf(err, "team %q", name)
		}
		if err := s.checkVersion("team", name, t.Revision); err != nil {
			return err
		}
		if s.teams[name] != nil {
			return errors.Newf("team %q is listed twice", name)
		}
		if s.templates[t.Team.Template] == nil {
			return errors.Newf("team %q uses template %q, which is missing", name, t.Team.Template)
		}
		t.expansion = &resource.Expansion{}
		s.teams[name] = t
	}
	return nil
}

func (s *state) loadResources(snapshot *encodedSnapshot) error {
	for _, r := range snapshot.Resources {
		if r == nil || (r.Route == nil) == (r.Cluster == nil) {
			return errors.New("resource is neither a route nor a cluster")
		}
		if err := r.Validate(); err != nil {
			return err
		}
		key := r.Key()
		if err := s.checkVersion(string(key.Kind), key.Name, uint64(r.Changed)); err != nil {
			return err
		}
		if s.resources[key] != nil {
			return errors.Newf("%s %q is listed twice", key.Kind, key.Name)
		}
		team, organisation := r.Owner()
		t := s.teams[team]
		if t == nil || t.Team.Organisation != organisation || !strings.HasPrefix(key.Name, team+"/") {
			return errors.Newf("%s %q does not belong to team %q of organisation %q", key.Kind, key.Name, team, organisation)
		}
		s.resources[key] = r
		if r.Route != nil {
			t.expansion.Routes = append(t.expansion.Routes, r.Route)
		} else {
			t.expansion.Clusters = append(t.expansion.Clusters, r.Cluster)
		}
	}
	return nil
}

// loadReferences checks that each route refers to a cluster of its team and that the limits
// are kept, and restores the claims on hosts.
func (s *state) loadReferences(*encodedSnapshot) error {
	for _, key := range sortedKeys(s.resources) {
		r := s.resources[key].Route
		if r == nil {
			continue
		}
		c := s.resources[resource.Key{Kind: resource.KindCluster, Name: r.Cluster}]
		if c == nil || c.Cluster.Team != r.Team {
			return errors.Newf("route %q refers to cluster %q, which its team does not have", r.Name, r.Cluster)
		}
	}
	for _, name := range sortedNames(s.teams) {
		for host := range s.teams[name].hosts() {
			c := s.hostClaims[host]
			organisation := s.teams[name].Team.Organisation
			if c.Teams > 0 && c.Organisation != organisation {
				return errors.Newf("host %q belongs to two organisations", host)
			}
			s.hostClaims[host] = hostClaim{Organisation: organisation, Teams: c.Teams + 1}
		}
	}
	if r := s.checkLimits(&plan{}); r != nil {
		return errors.New(r.Text)
	}
	return nil
}

func (s *state) loadHistory(snapshot *encodedSnapshot) error {
	n := len(snapshot.Steps)
	if n > maxHistoryVersions || uint64(n) > uint64(s.version) {
		return errors.Newf("%d steps of history are too many at version %d", n, s.version)
	}
	for i, st := range snapshot.Steps {
		if want := s.version - resource.Version(n-1-i); st.Version != want {
			return errors.Newf("step of history has version %d instead of %d", st.Version, want)
		}
		for _, t := range st.Touched {
			if t.Kind != resource.KindRoute && t.Kind != resource.KindCluster && t.Kind != resource.KindCaller || t.Name == "" {
				return errors.Newf("step of history of version %d names no resource", st.Version)
			}
		}
		s.history.resourceCount += len(st.Touched)
	}
	if s.history.resourceCount > maxHistoryResources {
		return errors.Newf("history has %d resources, the limit is %d", s.history.resourceCount, maxHistoryResources)
	}
	s.history.steps = snapshot.Steps
	return nil
}

func (s *state) loadRecords(snapshot *encodedSnapshot) error {
	n := len(snapshot.Records)
	if n > maxRecords || uint64(n) > snapshot.Last {
		return errors.Newf("%d audit records are too many at number %d", n, snapshot.Last)
	}
	for i := range snapshot.Records {
		r := &snapshot.Records[i]
		if want := snapshot.Last - uint64(n-1-i); r.Seq != want {
			return errors.Newf("audit record has number %d instead of %d", r.Seq, want)
		}
		if err := change.CheckID(r.Outcome.ID); err != nil {
			return errors.Wrapf(err, "audit record %d", r.Seq)
		}
		accepted := r.Outcome.State == change.StateAccepted
		if !accepted && r.Outcome.State != change.StateRefused || accepted != (r.Outcome.Version > 0) || r.Outcome.Version > s.version {
			return errors.Newf("audit record %d has state %q with version %d", r.Seq, r.Outcome.State, r.Outcome.Version)
		}
		if r.Outcome.Reason == change.ReasonIDReused || !isKeptAnswer(r.Kind, r.Outcome) {
			continue
		}
		if _, ok := s.records.byID[r.Outcome.ID]; ok {
			return errors.Newf("change %q has two answers", r.Outcome.ID)
		}
		s.records.byID[r.Outcome.ID] = r.Seq
	}
	s.records.list, s.records.lastSeq = snapshot.Records, snapshot.Last
	return nil
}
