package catalog

import (
	"slices"
	"sort"

	"github.com/celeryyard/celeryyard/core/change"
	"github.com/celeryyard/celeryyard/core/resource"
)

// Limits of the state. A change that would exceed one of them is refused. Teams and resources
// are limited per organisation, so that one organisation cannot exhaust the capacity of
// another.
const (
	maxTemplates            = 512
	maxTeamsPerOrganisation = 1024
	// maxResourcesPerOrganisation is four times the 2,000 resources of the design capacity.
	maxResourcesPerOrganisation = 8192
	// maxTeamBytesPerOrganisation limits the total size of the bodies of an organisation's teams.
	maxTeamBytesPerOrganisation = 8 << 20
	// maxTemplateBytes limits the total size of the bodies of all templates.
	maxTemplateBytes = 8 << 20
)

// templateEntry is an accepted template. It is immutable.
type templateEntry struct {
	Template *resource.Template `json:"template"`
	// Revision is the version of the last accepted change of the template.
	Revision uint64 `json:"revision"`
	// Size is the size of the body in bytes.
	Size int `json:"size"`
}

// teamEntry is an accepted team with its resources. It is immutable.
type teamEntry struct {
	Team *resource.Team `json:"team"`
	// Revision is the version of the last accepted change of the team. A change of the team's
	// template does not raise it.
	Revision uint64 `json:"revision"`
	// Size is the size of the body in bytes.
	Size int `json:"size"`

	expansion *resource.Expansion
}

// state is the replicated state. It depends only on the applied entries, so that it is the
// same on each instance.
type state struct {
	version   resource.Version
	templates map[string]*templateEntry
	teams     map[string]*teamEntry
	// resources holds the routes and clusters of all teams, and the callers. Values are immutable.
	resources  map[resource.Key]*resource.Resource
	hostClaims map[string]hostClaim // claims by host
	// configuration is the whole configuration in force; nil before the first one.
	configuration *configurationEntry
	history       history
	records       records
}

func newState() *state {
	return &state{
		templates: map[string]*templateEntry{}, teams: map[string]*teamEntry{},
		resources: map[resource.Key]*resource.Resource{}, hostClaims: map[string]hostClaim{},
		history: history{maxVersions: maxHistoryVersions, maxResourceCount: maxHistoryResources},
		records: records{byID: map[string]uint64{}, max: maxRecords},
	}
}

// apply decides on a change and returns the outcome. A resend is not decided again but gets the
// stored outcome. proposedAt is the time of the proposal in Unix milliseconds.
func (s *state) apply(c *change.Change, proposedAt int64) change.Outcome {
	if r := c.CheckEnvelope(); r != nil {
		return change.Outcome{ID: c.ID, State: change.StateRefused, Reason: r.Reason, Text: r.Text}
	}
	digest := c.Digest()
	old, known := s.records.find(c.ID)
	// The ID of a configuration is derived from its content. A resend may contain the same
	// content as a patch or in full, so the digests may differ.
	if known && (old.Digest == digest || c.Kind == change.KindConfiguration && old.Kind == change.KindConfiguration) {
		return old.Outcome
	}
	var out change.Outcome
	if c.Kind == change.KindConfiguration && !known {
		out = s.decideConfiguration(c)
	} else if known {
		out = s.refuse(c, &change.Refusal{Reason: change.ReasonIDReused, Text: "the ID was used for another change"})
	} else {
		out = s.decide(c)
	}
	s.records.add(change.Record{
		Time: proposedAt, Operator: c.Operator, Organisation: c.Organisation, Kind: c.Kind, Action: c.Action,
		Name: c.Name, ExpectedRevision: c.ExpectedRevision, Digest: digest, Outcome: out,
	}, !known && isKeptAnswer(c.Kind, out))
	return out
}

// isKeptAnswer reports whether an outcome is stored as the answer to resends. The refusal of a
// configuration is not, because the configuration may be sent again once its base is in force.
func isKeptAnswer(k change.Kind, out change.Outcome) bool {
	return k != change.KindConfiguration || out.State == change.StateAccepted
}

// decide accepts and applies a change with an unused ID, or refuses it and leaves the
// configuration unchanged.
func (s *state) decide(c *change.Change) change.Outcome {
	content, r := c.Decode()
	if r == nil {
		r = c.Authorise(content)
	}
	if r != nil {
		return s.refuse(c, r)
	}
	p, r := s.plan(c, content)
	if r != nil {
		return s.refuse(c, r)
	}
	s.commit(p)
	return change.Outcome{ID: c.ID, State: change.StateAccepted, Version: s.version, Revision: s.revision(c)}
}

func (s *state) refuse(c *change.Change, r *change.Refusal) change.Outcome {
	return change.Outcome{ID: c.ID, State: change.StateRefused, Revision: s.revision(c), Reason: r.Reason, Text: r.Text}
}

// revision returns the current revision of the object of c, or 0 if it does not exist or
// belongs to another organisation. The revision of the whole configuration is its number.
func (s *state) revision(c *change.Change) uint64 {
	if c.Kind == change.KindConfiguration {
		return s.configurationNumber()
	}
	if c.Kind == change.KindTemplate {
		if t := s.templates[c.Name]; t != nil {
			return t.Revision
		}
		return 0
	}
	if t := s.teams[c.Name]; t != nil && t.Team.Organisation == c.Organisation {
		return t.Revision
	}
	return 0
}

// teamsUsing returns the sorted names of the teams that use a template.
func (s *state) teamsUsing(template string) []string {
	var names []string
	for name, t := range s.teams {
		if t.Team.Template == template {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

// service returns the service to which a resource of the state refers, directly or through
// its cluster.
// A caller refers to all services.
func (s *state) service(r *resource.Resource) string {
	if r.Caller != nil {
		return allServices
	}
	if r.Cluster != nil {
		return r.Cluster.Service
	}
	return s.resources[resource.Key{Kind: resource.KindCluster, Name: r.Route.Cluster}].Cluster.Service
}

// commit applies a plan. It cannot fail.
func (s *state) commit(p *plan) {
	s.version++
	if p.templateName != "" {
		if p.newTemplate == nil {
			delete(s.templates, p.templateName)
		} else {
			p.newTemplate.Revision = uint64(s.version)
			s.templates[p.templateName] = p.newTemplate
		}
	}
	var touched []touchedResource
	for _, name := range sortedNames(p.teams) {
		touched = append(touched, s.commitTeam(name, p.teams[name])...)
	}
	for host, c := range p.hostClaims {
		if c.Teams == 0 {
			delete(s.hostClaims, host)
		} else {
			s.hostClaims[host] = c
		}
	}
	s.history.add(s.version, touched)
}

// commitTeam replaces the resources of a team with those of next, which is nil if the team is
// withdrawn, and returns the changed resources.
func (s *state) commitTeam(name string, next *teamEntry) []touchedResource {
	old := s.teams[name]
	touched := diffEntries(old, next)
	s.commitResources(touched)
	if next == nil {
		delete(s.teams, name)
		return touched
	}
	if next.Revision == 0 {
		next.Revision = uint64(s.version)
	}
	s.teams[name] = next
	return touched
}

// commitResources replaces or removes the touched resources.
func (s *state) commitResources(touched []touchedResource) {
	for _, t := range touched {
		if t.next == nil {
			delete(s.resources, t.Key)
			continue
		}
		t.next.Changed = s.version
		s.resources[t.Key] = t.next
	}
}

// diffEntries returns the resources that differ between two entries of a team, each with the
// service to which the resource referred before. A route also counts as changed if the
// service of its cluster changes, because the service determines which nodes hold the route.
func diffEntries(old, next *teamEntry) []touchedResource {
	before, after := old.index(), next.index()
	var touched []touchedResource
	for key, b := range before {
		a, kept := after[key]
		if !kept {
			touched = append(touched, touchedResource{Key: key, Before: b.service})
		} else if a.service != b.service || !equalContent(a.res, b.res) {
			touched = append(touched, touchedResource{Key: key, Before: b.service, next: a.res})
		}
	}
	for key, a := range after {
		if _, kept := before[key]; !kept {
			touched = append(touched, touchedResource{Key: key, next: a.res})
		}
	}
	sort.Slice(touched, func(i, j int) bool { return lessKey(touched[i].Key, touched[j].Key) })
	return touched
}

// indexedResource is a resource together with the service to which it refers.
type indexedResource struct {
	service string
	res     *resource.Resource
}

func (t *teamEntry) index() map[resource.Key]indexedResource {
	if t == nil {
		return nil
	}
	m := make(map[resource.Key]indexedResource, len(t.expansion.Clusters)+len(t.expansion.Routes)+len(t.expansion.Callers))
	services := make(map[string]string, len(t.expansion.Clusters))
	for _, c := range t.expansion.Clusters {
		services[c.Name] = c.Service
		m[resource.Key{Kind: resource.KindCluster, Name: c.Name}] = indexedResource{c.Service, &resource.Resource{Cluster: c}}
	}
	for _, c := range t.expansion.Callers {
		m[resource.Key{Kind: resource.KindCaller, Name: c.Name}] = indexedResource{allServices, &resource.Resource{Caller: c}}
	}
	for _, r := range t.expansion.Routes {
		m[resource.Key{Kind: resource.KindRoute, Name: r.Name}] = indexedResource{services[r.Cluster], &resource.Resource{Route: r}}
	}
	return m
}

// equalContent reports whether two resources have the same content. It ignores their versions.
func equalContent(a, b *resource.Resource) bool {
	if a.Cluster != nil {
		return *a.Cluster == *b.Cluster
	}
	if a.Caller != nil {
		return a.Caller.Equal(b.Caller)
	}
	x, y := *a.Route, *b.Route
	if !slices.Equal(x.Match.Methods, y.Match.Methods) {
		return false
	}
	return x.Name == y.Name && x.Organisation == y.Organisation && x.Team == y.Team &&
		x.Match.Host == y.Match.Host && x.Match.PathPrefix == y.Match.PathPrefix && x.Cluster == y.Cluster &&
		x.TimeoutMillis == y.TimeoutMillis && x.MaxAttempts == y.MaxAttempts && x.Idempotent == y.Idempotent &&
		x.AtMostOnce == y.AtMostOnce && x.LargeBody == y.LargeBody && x.Anonymous == y.Anonymous && x.Priority == y.Priority && x.TargetMillis == y.TargetMillis && slices.Equal(x.Split, y.Split)
}

func lessKey(a, b resource.Key) bool {
	if a.Kind != b.Kind {
		return a.Kind < b.Kind
	}
	return a.Name < b.Name
}

func sortedNames[V any](m map[string]V) []string {
	names := make([]string, 0, len(m))
	for n := range m {
		names = append(names, n)
	}
	sort.Strings(names)
	return names
}
