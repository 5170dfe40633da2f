package catalog

import (
	"fmt"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/celeryyard/celeryyard/core/change"
	"github.com/celeryyard/celeryyard/core/resource"
)

// seed is the fixed seed of all properties, so that failures can be reproduced.
const seed = 20261204

// templateBodies are the variants of a template. The last one requires a parameter that no team
// sets.
var templateBodies = []string{
	`{"name":%q,"parameters":{"host":{"type":"string"},"service":{"type":"string"},"items":{"type":"list","default":[]}},
	  "clusters":[{"name":"c","service":"${service}"}],
	  "routes":[{"name":"r","host":"${host}","cluster":"c"},{"name":"${item}","for_each":"items","host":"${host}","path_prefix":"/${item}","cluster":"c"}]}`,
	`{"name":%q,"parameters":{"host":{"type":"string"},"service":{"type":"string"},"items":{"type":"list","default":[]}},
	  "clusters":[{"name":"c","service":"workroom"},{"name":"d","service":"${service}","retry_budget_percent":"5"}],
	  "routes":[{"name":"r","host":"${host}","cluster":"c"},{"name":"${item}","for_each":"items","host":"${host}","path_prefix":"/${item}","cluster":"d"}]}`,
	`{"name":%q,"parameters":{"host":{"type":"string"},"service":{"type":"string"},"items":{"type":"list","default":[]},"more":{"type":"int"}},
	  "clusters":[{"name":"c","service":"${service}"}],"routes":[{"name":"r","host":"${host}","cluster":"c"}]}`,
}

var (
	services      = []string{"catalogo", "taller", "order-desk", "workroom"}
	organisations = []string{"tacto-norte", "kranjc"}
	itemLists     = []string{`[]`, `["x"]`, `["x","y"]`}
)

// scriptedChange derives a change from a number. Most of these changes are acceptable in the
// current state; some have a wrong expected revision or a host of another organisation.
func (s *state) scriptedChange(n uint32, id string) *change.Change {
	pick := func(choices uint32) int {
		v := n % choices
		n /= choices
		return int(v)
	}
	operation, team, host, service, items, stale, template, body := pick(10), pick(4), pick(5), pick(4), pick(3), pick(6), pick(2), pick(7)
	c := &change.Change{
		ID: id, Operator: fmt.Sprintf("op%d", team/2), Organisation: organisations[team/2],
		Roles: []string{change.RoleTeam, change.RoleTemplate},
	}
	if operation >= 7 {
		c.Kind, c.Name = change.KindTemplate, fmt.Sprintf("t%d", template)
		c.Body = fmt.Appendf(nil, templateBodies[min(body/3, 2)], c.Name)
	} else {
		c.Kind, c.Name = change.KindTeam, fmt.Sprintf("team%d", team)
		c.Body = fmt.Appendf(nil, `{"name":%q,"organisation":%q,"template":"t%d","parameters":{"host":"h%d.example","service":%q,"items":%s}}`,
			c.Name, c.Organisation, template, host, services[service], itemLists[items])
	}
	c.ExpectedRevision = s.revision(c)
	switch {
	case c.ExpectedRevision == 0:
		c.Action = change.ActionPut
		return c
	case operation == 6 || operation == 9 && body <= 2:
		c.Action, c.Body = change.ActionWithdraw, nil
	default:
		c.Action = change.ActionRevise
	}
	if stale == 0 {
		c.ExpectedRevision++
	}
	return c
}

// appliedChange is a change together with its outcome.
type appliedChange struct {
	change  *change.Change
	outcome change.Outcome
}

// applyScript applies a script to s, one change per number.
func (s *state) applyScript(script []uint32) []appliedChange {
	var changes []appliedChange
	for i, n := range script {
		c := s.scriptedChange(n, fmt.Sprintf("c%d", i))
		changes = append(changes, appliedChange{c, s.apply(c, int64(i))})
	}
	return changes
}

func countAccepted(changes []appliedChange) int {
	n := 0
	for _, a := range changes {
		if a.outcome.State == change.StateAccepted {
			n++
		}
	}
	return n
}

// encodedConfig returns the encoded state without history and records.
func (s *state) encodedConfig() string {
	b, err := (&state{version: s.version, templates: s.templates, teams: s.teams, resources: s.resources}).encode()
	if err != nil {
		panic(err)
	}
	return string(b)
}

func (s *state) mustEncode() string {
	b, err := s.encode()
	if err != nil {
		panic(err)
	}
	return string(b)
}

// checkProperty tests a property with generated scripts. The property returns an empty text if it
// holds. The test also fails if fewer than 500 changes of all scripts together are accepted,
// because the property would then be tested on almost empty states.
func checkProperty(t *testing.T, property func(script []uint32) string) {
	t.Helper()
	total := 0
	p := gopter.DefaultTestParametersWithSeed(seed)
	p.MinSuccessfulTests, p.MaxSize = 120, 50
	props := gopter.NewProperties(p)
	props.Property(t.Name(), prop.ForAll(func(script []uint32) (string, error) {
		total += countAccepted(newState().applyScript(script))
		if fault := property(script); fault != "" {
			return fault, fmt.Errorf("%s", fault)
		}
		return "", nil
	}, gen.SliceOf(gen.UInt32())))
	props.TestingRun(t)
	if total < 500 {
		t.Errorf("only %d changes of the scripts were accepted", total)
	}
}

// nodeSnapshot returns the snapshot of a node with the given services at the newest version.
func (s *state) nodeSnapshot(serviceSet map[string]bool) (*resource.Snapshot, error) {
	return (*resource.Snapshot)(nil).Apply(newUpdate(s.fullDelta(serviceSet)))
}

// newUpdate returns an update with the delta and empty endpoint sets of all services.
func newUpdate(d resource.Delta) resource.Update {
	u := resource.Update{Delta: &d}
	for _, name := range services {
		u.Sets = append(u.Sets, resource.EndpointSet{Service: name})
	}
	return u
}
