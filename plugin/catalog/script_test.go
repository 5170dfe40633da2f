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

// seed makes every property repeatable.
const seed = 20261204

// bodies are the variants of a template. The last one needs a parameter that no
// team gives.
var bodies = []string{
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

// decode turns a number into a change that mostly fits the state: its expected
// revision is wrong now and then, and its hosts collide now and then.
func (s *state) decode(n uint32, id string) *change.Change {
	pick := func(choices uint32) int {
		v := n % choices
		n /= choices
		return int(v)
	}
	what, team, host, service, items, stale, template, body := pick(10), pick(4), pick(5), pick(4), pick(3), pick(6), pick(2), pick(7)
	c := &change.Change{
		ID: id, Operator: fmt.Sprintf("op%d", team/2), Organisation: organisations[team/2],
		Roles: []string{change.RoleTeam, change.RoleTemplate},
	}
	if what >= 7 {
		c.Kind, c.Name = change.KindTemplate, fmt.Sprintf("t%d", template)
		c.Body = fmt.Appendf(nil, bodies[min(body/3, 2)], c.Name)
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
	case what == 6 || what == 9 && body <= 2:
		c.Action, c.Body = change.ActionWithdraw, nil
	default:
		c.Action = change.ActionRevise
	}
	if stale == 0 {
		c.ExpectedRevision++
	}
	return c
}

// applied is a change together with its answer.
type applied struct {
	c   *change.Change
	out change.Outcome
}

// play applies a script to s.
func (s *state) play(script []uint32) []applied {
	var list []applied
	for i, n := range script {
		c := s.decode(n, fmt.Sprintf("c%d", i))
		list = append(list, applied{c, s.apply(c, int64(i))})
	}
	return list
}

func accepted(list []applied) int {
	n := 0
	for _, a := range list {
		if a.out.State == change.StateAccepted {
			n++
		}
	}
	return n
}

// config encodes what is in force, without history and records.
func (s *state) config() string {
	b, err := (&state{version: s.version, templates: s.templates, teams: s.teams, resources: s.resources}).encode()
	if err != nil {
		panic(err)
	}
	return string(b)
}

func (s *state) encoded() string {
	b, err := s.encode()
	if err != nil {
		panic(err)
	}
	return string(b)
}

// check runs a property over scripts. Property functions return an empty text
// when it holds. It fails when the scripts accept too few changes to tell.
func check(t *testing.T, property func(script []uint32) string) {
	t.Helper()
	total := 0
	p := gopter.DefaultTestParametersWithSeed(seed)
	p.MinSuccessfulTests, p.MaxSize = 120, 50
	props := gopter.NewProperties(p)
	props.Property(t.Name(), prop.ForAll(func(script []uint32) (string, error) {
		total += accepted(newState().play(script))
		if fault := property(script); fault != "" {
			return fault, fmt.Errorf("%s", fault)
		}
		return "", nil
	}, gen.SliceOf(gen.UInt32())))
	props.TestingRun(t)
	if total < 500 {
		t.Errorf("scripts had only %d accepted changes", total)
	}
}

// full returns what a node with the given services holds at the newest version.
func (s *state) node(wanted map[string]bool) (*resource.Snapshot, error) {
	return (*resource.Snapshot)(nil).Apply(update(s.full(wanted)))
}

// update adds the endpoint sets of all services to a delta.
func update(d resource.Delta) resource.Update {
	u := resource.Update{Delta: &d}
	for _, name := range services {
		u.Sets = append(u.Sets, resource.EndpointSet{Service: name})
	}
	return u
}
