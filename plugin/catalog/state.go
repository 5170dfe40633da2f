package catalog

import (
	"slices"
	"sort"

	"github.com/celeryyard/celeryyard/core/change"
	"github.com/celeryyard/celeryyard/core/resource"
)

// Bounds of the whole state. Teams and resources are bounded for each
// organisation, so that one organisation cannot use up the room of another.
const (
	maxTemplates = 512
	maxTeams     = 1024
	// maxResources is four times the 2,000 resources of the design capacity.
	maxResources = 8192
	// maxTeamBodies and maxTemplateBodies bound the bytes of the kept bodies.
	maxTeamBodies     = 8 << 20
	maxTemplateBodies = 8 << 20
)

// templateEntry is an accepted template. Entries are immutable.
type templateEntry struct {
	Template *resource.Template `json:"template"`
	// Revision is the version of the last accepted change of the template.
	Revision uint64 `json:"revision"`
	// Size is the number of bytes of the body.
	Size int `json:"size"`
}

// teamEntry is an accepted team with its resources. Entries are immutable.
type teamEntry struct {
	Team     *resource.Team `json:"team"`
	Revision uint64         `json:"revision"`
	Size     int            `json:"size"`

	out *resource.Expansion
}

// state is the replicated state. It depends on nothing but the applied entries,
// so that it is the same on each instance.
type state struct {
	version   resource.Version
	templates map[string]*templateEntry
	teams     map[string]*teamEntry
	// resources holds the routes and clusters of all teams. Values are immutable.
	resources map[resource.Key]*resource.Resource
	hosts     map[string]claim
	// configuration is the whole configuration in force; nil before the first one.
	configuration *configurationEntry
	history       history
	records       records
}

func newState() *state {
	return &state{
		templates: map[string]*templateEntry{}, teams: map[string]*teamEntry{},
		resources: map[resource.Key]*resource.Resource{}, hosts: map[string]claim{},
		history: history{maxVersions: maxHistoryVersions, maxTouches: maxHistoryTouches},
		records: records{byID: map[string]uint64{}, max: maxRecords},
	}
}

// apply decides a change and returns the answer. at is the proposer's time.
func (s *state) apply(c *change.Change, at int64) change.Outcome {
	if r := c.CheckHead(); r != nil {
		return change.Outcome{ID: c.ID, State: change.StateRefused, Reason: r.Reason, Text: r.Text}
	}
	digest := c.Digest()
	old, known := s.records.find(c.ID)
	// The ID of a configuration follows from its content, which a resend may give as
	// a patch or in full.
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
		Time: at, Operator: c.Operator, Organisation: c.Organisation, Kind: c.Kind, Action: c.Action,
		Name: c.Name, ExpectedRevision: c.ExpectedRevision, Digest: digest, Outcome: out,
	}, !known && answers(c.Kind, out))
	return out
}

// answers reports whether a decision is kept as the answer to resends. A refused
// configuration may be sent again once the one that it builds on is in force.
func answers(k change.Kind, out change.Outcome) bool {
	return k != change.KindConfiguration || out.State == change.StateAccepted
}

// decide accepts and executes a change with an unused ID, or refuses it and
// leaves the configuration unchanged.
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

// revision returns the current revision of the object of c, or 0 when it does
// not exist or belongs to another organisation.
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

// users returns the names of the teams that use a template, in order.
func (s *state) users(template string) []string {
	var names []string
	for name, t := range s.teams {
		if t.Team.Template == template {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

// service returns the service that a resource of the state refers to, directly
// or through its cluster.
func (s *state) service(r *resource.Resource) string {
	if r.Cluster != nil {
		return r.Cluster.Service
	}
	return s.resources[resource.Key{Kind: resource.KindCluster, Name: r.Route.Cluster}].Cluster.Service
}

// commit executes a plan. It cannot fail.
func (s *state) commit(p *plan) {
	s.version++
	if p.template != "" {
		if p.newTemplate == nil {
			delete(s.templates, p.template)
		} else {
			p.newTemplate.Revision = uint64(s.version)
			s.templates[p.template] = p.newTemplate
		}
	}
	var touched []touch
	for _, name := range sortedNames(p.teams) {
		touched = append(touched, s.commitTeam(name, p.teams[name])...)
	}
	for host, c := range p.hosts {
		if c.Teams == 0 {
			delete(s.hosts, host)
		} else {
			s.hosts[host] = c
		}
	}
	s.history.add(s.version, touched)
}

// commitTeam replaces the resources of a team by those of next, which is nil
// when the team is withdrawn, and returns the keys that changed.
func (s *state) commitTeam(name string, next *teamEntry) []touch {
	old := s.teams[name]
	touched := compare(old, next)
	s.commitTouched(touched)
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

// commitTouched replaces resources.
func (s *state) commitTouched(touched []touch) {
	for _, t := range touched {
		if t.next == nil {
			delete(s.resources, t.Key)
			continue
		}
		t.next.Changed = s.version
		s.resources[t.Key] = t.next
	}
}

// compare returns the resources that differ between two entries of one team,
// each with the service that it referred to before. A route counts as changed
// when the service of its cluster changes, because that decides which nodes hold it.
func compare(old, next *teamEntry) []touch {
	before, after := old.index(), next.index()
	var list []touch
	for key, b := range before {
		a, kept := after[key]
		if !kept {
			list = append(list, touch{Key: key, Before: b.service})
		} else if a.service != b.service || !equal(a.res, b.res) {
			list = append(list, touch{Key: key, Before: b.service, next: a.res})
		}
	}
	for key, a := range after {
		if _, kept := before[key]; !kept {
			list = append(list, touch{Key: key, next: a.res})
		}
	}
	sort.Slice(list, func(i, j int) bool { return less(list[i].Key, list[j].Key) })
	return list
}

// indexed is a resource together with the service that it refers to.
type indexed struct {
	service string
	res     *resource.Resource
}

func (t *teamEntry) index() map[resource.Key]indexed {
	if t == nil {
		return nil
	}
	m := make(map[resource.Key]indexed, len(t.out.Clusters)+len(t.out.Routes))
	services := make(map[string]string, len(t.out.Clusters))
	for _, c := range t.out.Clusters {
		services[c.Name] = c.Service
		m[resource.Key{Kind: resource.KindCluster, Name: c.Name}] = indexed{c.Service, &resource.Resource{Cluster: c}}
	}
	for _, r := range t.out.Routes {
		m[resource.Key{Kind: resource.KindRoute, Name: r.Name}] = indexed{services[r.Cluster], &resource.Resource{Route: r}}
	}
	return m
}

// equal compares content, not versions.
func equal(a, b *resource.Resource) bool {
	if a.Cluster != nil {
		return *a.Cluster == *b.Cluster
	}
	x, y := *a.Route, *b.Route
	if !slices.Equal(x.Match.Methods, y.Match.Methods) {
		return false
	}
	return x.Name == y.Name && x.Organisation == y.Organisation && x.Team == y.Team &&
		x.Match.Host == y.Match.Host && x.Match.PathPrefix == y.Match.PathPrefix && x.Cluster == y.Cluster &&
		x.TimeoutMillis == y.TimeoutMillis && x.MaxAttempts == y.MaxAttempts && x.Idempotent == y.Idempotent &&
		x.AtMostOnce == y.AtMostOnce && x.Priority == y.Priority && x.TargetMillis == y.TargetMillis && slices.Equal(x.Split, y.Split)
}

func less(a, b resource.Key) bool {
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
