package catalog

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/go-json-experiment/json"

	"github.com/celeryyard/celeryyard/core/change"
	"github.com/celeryyard/celeryyard/core/resource"
)

func configurationOf(number, base uint64, service string) *resource.Configuration {
	return &resource.Configuration{
		Number: number, Base: base, Services: []resource.ConfiguredService{{Name: "a"}, {Name: "b"}},
		Routes: []resource.ConfiguredRoute{
			{Name: "r1", Host: "h", PathPrefix: "/x/", TimeoutMillis: 100, Service: service, MaxAttempts: 2, Idempotent: true},
			{Name: "r2", Host: "h", PathPrefix: "/y/", TimeoutMillis: 100, Split: []resource.ServiceShare{{Service: "a", Weight: 9}, {Service: "b", Weight: 1}}},
		},
	}
}

func configurationChange(t *testing.T, id string, c *resource.Configuration) *change.Change {
	t.Helper()
	body, err := json.Marshal(c)
	if err != nil {
		t.Fatal(err)
	}
	return &change.Change{
		ID: id, Operator: "ops", Organisation: "ops", Kind: change.KindConfiguration, Action: change.ActionPut, Name: "configuration", Body: body,
	}
}

func patchChange(t *testing.T, id string, base, next *resource.Configuration) *change.Change {
	t.Helper()
	c := configurationChange(t, id, next)
	body, err := json.Marshal(resource.PatchOf(base, next))
	if err != nil {
		t.Fatal(err)
	}
	c.Action, c.ExpectedRevision, c.Body = change.ActionRevise, base.Number, body
	return c
}

// Guards against two configurations on the same base that are both accepted, an
// accepted one that is refused when it is sent again after a later one, and a
// refused one that stays refused once its base is in force.
func TestConfigurationsAreComparedAndSet(t *testing.T) {
	s := newState()
	first, left, right, third := configurationOf(1, 0, "a"), configurationOf(4, 1, "b"), configurationOf(4, 1, "a"), configurationOf(9, 4, "a")
	for i, step := range []struct {
		c    *change.Change
		want change.State
		why  change.Reason
	}{
		{configurationChange(t, "c9", third), change.StateRefused, change.ReasonRevision},
		{configurationChange(t, "c1", first), change.StateAccepted, ""},
		{patchChange(t, "c4-left", first, left), change.StateAccepted, ""},
		{patchChange(t, "c4-right", first, right), change.StateRefused, change.ReasonRevision},
		{configurationChange(t, "c4-left", left), change.StateAccepted, ""}, // resent in full
		{configurationChange(t, "c9", third), change.StateAccepted, ""},
		{configurationChange(t, "c1", first), change.StateAccepted, ""}, // resent after it was superseded
		{configurationChange(t, "c4-right", right), change.StateRefused, change.ReasonRevision},
	} {
		out := s.apply(step.c, int64(i))
		if out.State != step.want || out.Reason != step.why {
			t.Fatalf("step %d: %+v", i, out)
		}
	}
	if n := s.configurationNumber(); n != 9 || s.version != 3 {
		t.Fatalf("configuration %d, version %d in force", n, s.version)
	}
}

// Guards against a snapshot that loses the configuration, its resources or the
// answers to resends.
func TestConfigurationSurvivesASnapshot(t *testing.T) {
	s := newState()
	var base *resource.Configuration
	for i := range uint64(5) {
		next := configurationOf(i+1, i, []string{"a", "b"}[i%2])
		c := configurationChange(t, fmt.Sprintf("c%d", i), next)
		if base != nil {
			c = patchChange(t, c.ID, base, next)
		}
		if out := s.apply(c, 0); out.State != change.StateAccepted {
			t.Fatal(out)
		}
		base = next
	}
	data, err := s.encode()
	if err != nil {
		t.Fatal(err)
	}
	again, err := decodeState(data)
	if err != nil {
		t.Fatal(err)
	}
	second, err := again.encode()
	if err != nil || !bytes.Equal(data, second) {
		t.Fatalf("the encoding differs after a restore: %v", err)
	}
	if len(again.resources) != len(s.resources) || again.configurationNumber() != 5 {
		t.Fatalf("%d resources of configuration %d, want %d of 5", len(again.resources), again.configurationNumber(), len(s.resources))
	}
	if out := again.apply(configurationChange(t, "c2", configurationOf(3, 2, "a")), 0); out.State != change.StateAccepted {
		t.Fatalf("resend after the restore: %+v", out)
	}
	out := again.apply(patchChange(t, "c6", base, configurationOf(6, 5, "b")), 0)
	if out.State != change.StateAccepted {
		t.Fatalf("patch after the restore: %+v", out)
	}
}
