package catalog

import (
	"fmt"

	"github.com/celeryyard/celeryyard/core/change"
	"github.com/celeryyard/celeryyard/core/resource"
)

// plan contains all effects of an accepted change.
type plan struct {
	// templateName is the name of the changed template; empty for a change of a team.
	templateName string
	// newTemplate is the new entry of the template; nil if the template is withdrawn.
	newTemplate *templateEntry
	// teams holds the new entry of each team that changes or is expanded again; nil if the
	// team is withdrawn. If the team itself changes, Revision is 0 and is set by commitTeam.
	teams map[string]*teamEntry
	// hostClaims holds the changed claims, by host.
	hostClaims map[string]hostClaim
}

// plan computes the effects of a change without applying them.
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
	p.hostClaims, r = s.claimHosts(p)
	return p, r
}

func (s *state) planTemplate(p *plan, c *change.Change, t *resource.Template) *change.Refusal {
	if r := s.checkRevision(c, s.templates[c.Name] != nil); r != nil {
		return r
	}
	p.templateName = c.Name
	users := s.teamsUsing(c.Name)
	if c.Action == change.ActionWithdraw {
		if len(users) > 0 {
			return newRefusal(change.ReasonInUse, "template %q is used by %d teams", c.Name, len(users))
		}
		return nil
	}
	p.newTemplate = &templateEntry{Template: t, Size: len(c.Body)}
	for _, name := range users {
		old := s.teams[name]
		out, err := resource.Expand(t, old.Team)
		if err != nil {
			return newRefusal(change.ReasonExpansionFailed, "team %q: %v", name, err)
		}
		p.teams[name] = &teamEntry{Team: old.Team, Revision: old.Revision, Size: old.Size, expansion: out}
	}
	return nil
}

func (s *state) planTeam(p *plan, c *change.Change, t *resource.Team) *change.Refusal {
	old := s.teams[c.Name]
	if old != nil && old.Team.Organisation != c.Organisation && c.Action != change.ActionPut {
		old = nil // the operator must not learn that the team exists
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
		return newRefusal(change.ReasonUnknownTemplate, "template %q does not exist", t.Template)
	}
	out, err := resource.Expand(template.Template, t)
	if err != nil {
		return newRefusal(change.ReasonExpansionFailed, "team %q: %v", c.Name, err)
	}
	p.teams[c.Name] = &teamEntry{Team: t, Size: len(c.Body), expansion: out}
	return nil
}

// checkRevision checks that the object of a change exists, or does not exist, as the action of the
// change requires. An object that must exist must have the expected revision.
func (s *state) checkRevision(c *change.Change, exists bool) *change.Refusal {
	switch {
	case c.Action == change.ActionPut && exists:
		return newRefusal(change.ReasonExists, "%s %q exists", c.Kind, c.Name)
	case c.Action == change.ActionPut:
		return nil
	case !exists:
		return newRefusal(change.ReasonNotFound, "%s %q does not exist", c.Kind, c.Name)
	case s.revision(c) != c.ExpectedRevision:
		return newRefusal(change.ReasonRevisionMismatch, "%s %q has revision %d, not %d", c.Kind, c.Name, s.revision(c), c.ExpectedRevision)
	}
	return nil
}

// checkLimits checks that the state after the plan is within the limits.
func (s *state) checkLimits(p *plan) *change.Refusal {
	if p.newTemplate != nil {
		n, size := 1, p.newTemplate.Size
		for name, t := range s.templates {
			if name != p.templateName {
				n, size = n+1, size+t.Size
			}
		}
		if n > maxTemplates || size > maxTemplateBytes {
			return newRefusal(change.ReasonLimitExceeded, "%d templates of %d bytes are above the limits of %d and %d", n, size, maxTemplates, maxTemplateBytes)
		}
	}
	usageByOrganisation := map[string]usage{}
	for name, t := range s.teams {
		if _, changes := p.teams[name]; !changes && name != resource.ConfigurationTeam {
			usageByOrganisation[t.Team.Organisation] = usageByOrganisation[t.Team.Organisation].add(t)
		}
	}
	for _, t := range p.teams {
		if t != nil {
			usageByOrganisation[t.Team.Organisation] = usageByOrganisation[t.Team.Organisation].add(t)
		}
	}
	for _, org := range sortedNames(usageByOrganisation) {
		if u := usageByOrganisation[org]; u.teams > maxTeamsPerOrganisation || u.resources > maxResourcesPerOrganisation || u.bytes > maxTeamBytesPerOrganisation {
			return newRefusal(change.ReasonLimitExceeded, "organisation %q would have %d teams with %d resources and %d bytes; the limits are %d, %d and %d",
				org, u.teams, u.resources, u.bytes, maxTeamsPerOrganisation, maxResourcesPerOrganisation, maxTeamBytesPerOrganisation)
		}
	}
	return nil
}

// usage counts the teams of one organisation, their resources and the bytes of their bodies.
type usage struct{ teams, resources, bytes int }

func (u usage) add(t *teamEntry) usage {
	return usage{u.teams + 1, u.resources + len(t.expansion.Routes) + len(t.expansion.Clusters), u.bytes + t.Size}
}

// hostClaim is the claim of an organisation on a host.
//
// A host belongs to one organisation at a time, with all its paths. Otherwise a longer path
// prefix of another organisation could divert requests from a shorter one.
type hostClaim struct {
	Organisation string
	Teams        int // number of the organisation's teams that use the host
}

// claimHosts returns the claims on hosts that the plan changes, or a refusal if a host
// belongs to another organisation. The plan may claim a host that it also releases.
func (s *state) claimHosts(p *plan) (map[string]hostClaim, *change.Refusal) {
	changed := map[string]hostClaim{}
	current := func(host string) hostClaim {
		if c, ok := changed[host]; ok {
			return c
		}
		return s.hostClaims[host]
	}
	names := sortedNames(p.teams)
	for _, name := range names {
		for host := range s.teams[name].hosts() {
			c := current(host)
			c.Teams--
			changed[host] = c
		}
	}
	for _, name := range names {
		next := p.teams[name]
		for _, host := range sortedNames(next.hosts()) {
			c := current(host)
			if c.Teams > 0 && c.Organisation != next.Team.Organisation {
				return nil, newRefusal(change.ReasonHostTaken, "team %q: host %q is taken by another organisation", name, host)
			}
			changed[host] = hostClaim{Organisation: next.Team.Organisation, Teams: c.Teams + 1}
		}
	}
	return changed, nil
}

func (t *teamEntry) hosts() map[string]bool {
	if t == nil {
		return nil
	}
	m := map[string]bool{}
	for _, r := range t.expansion.Routes {
		m[r.Match.Host] = true
	}
	return m
}

func newRefusal(reason change.Reason, format string, args ...any) *change.Refusal {
	return &change.Refusal{Reason: reason, Text: fmt.Sprintf(format, args...)}
}
