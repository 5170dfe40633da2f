package catalog

import (
	"fmt"

	"github.com/celeryyard/celeryyard/core/change"
	"github.com/celeryyard/celeryyard/core/resource"
)

// plan is everything that an accepted change will do.
type plan struct {
	// template names the template that changes; newTemplate is nil when it is withdrawn.
	template    string
	newTemplate *templateEntry
	// teams holds the next entry of each team that changes or is expanded again;
	// nil when it is withdrawn. Revision is 0 when the change is to the team itself.
	teams map[string]*teamEntry
	// hosts holds the claims that differ afterwards.
	hosts map[string]claim
}

// plan works out a change without executing any of it.
func (s *state) plan(c *change.Change, content change.Content) (*plan, *change.Refusal) {
	p := &plan{teams: map[string]*teamEntry{}}
	var r *change.Refusal
	if c.Kind == change.KindTemplate {
		r = s.planTemplate(p, c, content.Template)
	} else {
		r = s.planTeam(p, c, content.Team)
	}
	if r != nil {
		return nil, r
	}
	if r := s.checkLimits(p); r != nil {
		return nil, r
	}
	p.hosts, r = s.claimHosts(p)
	return p, r
}

func (s *state) planTemplate(p *plan, c *change.Change, t *resource.Template) *change.Refusal {
	if r := s.checkRevision(c, s.templates[c.Name] != nil); r != nil {
		return r
	}
	p.template = c.Name
	users := s.users(c.Name)
	if c.Action == change.ActionWithdraw {
		if len(users) > 0 {
			return refusal(change.ReasonInUse, "template %q is used by %d teams", c.Name, len(users))
		}
		return nil
	}
	p.newTemplate = &templateEntry{Template: t, Size: len(c.Body)}
	for _, name := range users {
		old := s.teams[name]
		out, err := resource.Expand(t, old.Team)
		if err != nil {
			return refusal(change.ReasonExpansion, "team %q: %v", name, err)
		}
		p.teams[name] = &teamEntry{Team: old.Team, Revision: old.Revision, Size: old.Size, out: out}
	}
	return nil
}

func (s *state) planTeam(p *plan, c *change.Change, t *resource.Team) *change.Refusal {
	old := s.teams[c.Name]
	if old != nil && old.Team.Organisation != c.Organisation && c.Action != change.ActionPut {
		old = nil // the operator must not learn of it
	}
	if r := s.checkRevision(c, old != nil); r != nil {
		return r
	}
	if c.Action == change.ActionWithdraw {
		p.teams[c.Name] = nil
		return nil
	}
	template := s.templates[t.Template]
	if template == nil {
		return refusal(change.ReasonNoTemplate, "template %q does not exist", t.Template)
	}
	out, err := resource.Expand(template.Template, t)
	if err != nil {
		return refusal(change.ReasonExpansion, "team %q: %v", c.Name, err)
	}
	p.teams[c.Name] = &teamEntry{Team: t, Size: len(c.Body), out: out}
	return nil
}

// checkRevision checks the expectation of a change about its object.
func (s *state) checkRevision(c *change.Change, exists bool) *change.Refusal {
	switch {
	case c.Action == change.ActionPut && exists:
		return refusal(change.ReasonExists, "%s %q exists", c.Kind, c.Name)
	case c.Action == change.ActionPut:
		return nil
	case !exists:
		return refusal(change.ReasonAbsent, "%s %q does not exist", c.Kind, c.Name)
	case s.revision(c) != c.ExpectedRevision:
		return refusal(change.ReasonRevision, "%s %q has revision %d, not %d", c.Kind, c.Name, s.revision(c), c.ExpectedRevision)
	}
	return nil
}

// checkLimits checks the bounds of the state after the plan.
func (s *state) checkLimits(p *plan) *change.Refusal {
	if p.newTemplate != nil {
		n, size := 1, p.newTemplate.Size
		for name, t := range s.templates {
			if name != p.template {
				n, size = n+1, size+t.Size
			}
		}
		if n > maxTemplates || size > maxTemplateBodies {
			return refusal(change.ReasonLimit, "%d templates of %d bytes are above the limits of %d and %d", n, size, maxTemplates, maxTemplateBodies)
		}
	}
	use := map[string]usage{}
	for name, t := range s.teams {
		if _, changes := p.teams[name]; !changes && name != resource.ConfigurationTeam {
			use[t.Team.Organisation] = use[t.Team.Organisation].add(t)
		}
	}
	for _, t := range p.teams {
		if t != nil {
			use[t.Team.Organisation] = use[t.Team.Organisation].add(t)
		}
	}
	for _, org := range sortedNames(use) {
		if u := use[org]; u.teams > maxTeams || u.resources > maxResources || u.bytes > maxTeamBodies {
			return refusal(change.ReasonLimit, "organisation %q would have %d teams with %d resources and %d bytes; the limits are %d, %d and %d",
				org, u.teams, u.resources, u.bytes, maxTeams, maxResources, maxTeamBodies)
		}
	}
	return nil
}

// usage sums the teams of one organisation.
type usage struct{ teams, resources, bytes int }

func (u usage) add(t *teamEntry) usage {
	return usage{u.teams + 1, u.resources + len(t.out.Routes) + len(t.out.Clusters), u.bytes + t.Size}
}

// claim tells which organisation holds a host, and how many of its teams use it.
//
// A host belongs to one organisation at a time, with all its paths: a longer
// path prefix of another organisation would otherwise take requests away from a
// shorter one.
type claim struct {
	Organisation string
	Teams        int
}

// claimHosts returns the claims that the plan changes, or refuses it when a host
// belongs to another organisation. Hosts that the plan gives up are free for it.
func (s *state) claimHosts(p *plan) (map[string]claim, *change.Refusal) {
	over := map[string]claim{}
	at := func(host string) claim {
		if c, ok := over[host]; ok {
			return c
		}
		return s.hosts[host]
	}
	names := sortedNames(p.teams)
	for _, name := range names {
		for host := range s.teams[name].hosts() {
			c := at(host)
			c.Teams--
			over[host] = c
		}
	}
	for _, name := range names {
		next := p.teams[name]
		for _, host := range sortedNames(next.hosts()) {
			c := at(host)
			if c.Teams > 0 && c.Organisation != next.Team.Organisation {
				return nil, refusal(change.ReasonHostTaken, "team %q: host %q is taken by another organisation", name, host)
			}
			over[host] = claim{Organisation: next.Team.Organisation, Teams: c.Teams + 1}
		}
	}
	return over, nil
}

func (t *teamEntry) hosts() map[string]bool {
	if t == nil {
		return nil
	}
	m := map[string]bool{}
	for _, r := range t.out.Routes {
		m[r.Match.Host] = true
	}
	return m
}

func refusal(reason change.Reason, format string, args ...any) *change.Refusal {
	return &change.Refusal{Reason: reason, Text: fmt.Sprintf(format, args...)}
}
