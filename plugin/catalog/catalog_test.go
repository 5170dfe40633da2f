package catalog

import (
	"testing"

	"github.com/celeryyard/celeryyard/core/change"
)

const (
	oneTemplate = `{"name": "one", "parameters": {"host": {"type": "string"}, "service": {"type": "string"}},
		"clusters": [{"name": "c", "service": "${service}"}], "routes": [{"name": "r", "host": "${host}", "cluster": "c"}]}`
	quiltsTeam = `{"name": "quilts", "organisation": "kranjc", "template": "one", "parameters": {"host": "q.example", "service": "order-desk"}}`
)

func put(id string, kind change.Kind, name, organisation, body string) *change.Change {
	return &change.Change{
		ID: id, Operator: "op", Organisation: organisation, Roles: []string{change.RoleTeam, change.RoleTemplate},
		Kind: kind, Action: change.ActionPut, Name: name, Body: []byte(body),
	}
}

// Guards against a delta that lacks the cluster of a route.
func TestPutIsInTheNextDelta(t *testing.T) {
	s := newState()
	for _, c := range []*change.Change{
		put("a", change.KindTemplate, "one", "kranjc", oneTemplate), put("b", change.KindTeam, "quilts", "kranjc", quiltsTeam),
	} {
		if out := s.apply(c, 1); out.State != change.StateAccepted {
			t.Fatalf("change %s: %+v", c.ID, out)
		}
	}
	d := s.delta(1, map[string]bool{"order-desk": true})
	if d.From != 1 || d.To != 2 || len(d.Upserts) != 2 || len(d.Removes) != 0 {
		t.Fatalf("delta: %+v", d)
	}
	if d := s.delta(1, map[string]bool{"workroom": true}); len(d.Upserts)+len(d.Removes) != 0 {
		t.Fatalf("delta of another service: %+v", d)
	}
}
