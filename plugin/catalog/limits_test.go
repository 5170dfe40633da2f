package catalog

import (
	"fmt"
	"testing"

	"github.com/celeryyard/celeryyard/core/change"
)

// Guards against storing answers without limit, and against removing an answer while an older
// one is kept.
func TestKeptAnswersAreBounded(t *testing.T) {
	const keptCount = 10
	checkProperty(t, func(script []uint32) string {
		s := newState()
		s.records.max = keptCount
		changes := s.applyScript(script)
		if len(s.records.list) != min(keptCount, len(changes)) || len(s.records.byID) != len(s.records.list) {
			return fmt.Sprintf("%d records and %d answers after %d changes", len(s.records.list), len(s.records.byID), len(changes))
		}
		for i, a := range changes {
			rec, ok := s.records.find(a.change.ID)
			if newest := i >= len(changes)-keptCount; ok != newest || ok && (rec.Outcome != a.outcome || rec.Seq != uint64(i+1)) {
				return fmt.Sprintf("change %d of %d: kept %v as %+v", i, len(changes), ok, rec)
			}
		}
		return ""
	})
}

// Guards against an organisation that exhausts the capacity of another one, and against a
// catalog that grows without limit.
func TestTeamsOfOneOrganisationAreBounded(t *testing.T) {
	s := newState()
	put := func(kind change.Kind, name, organisation, body string) change.Outcome {
		return s.apply(&change.Change{
			ID: "put-" + name, Operator: "op", Organisation: organisation, Roles: []string{change.RoleTeam, change.RoleTemplate},
			Kind: kind, Action: change.ActionPut, Name: name, Body: []byte(body),
		}, 0)
	}
	team := func(name, organisation string) change.Outcome {
		return put(change.KindTeam, name, organisation,
			fmt.Sprintf(`{"name":%q,"organisation":%q,"template":"t0","parameters":{"host":"%s.example","service":"taller"}}`, name, organisation, name))
	}
	put(change.KindTemplate, "t0", "kranjc", fmt.Sprintf(templateBodies[0], "t0"))
	for i := range maxTeamsPerOrganisation {
		if out := team(fmt.Sprintf("k%d", i), "kranjc"); out.State != change.StateAccepted {
			t.Fatalf("team %d: %+v", i, out)
		}
	}
	if out := team("one-more", "kranjc"); out.Reason != change.ReasonLimitExceeded {
		t.Errorf("team above the limit: %+v", out)
	}
	if out := team("other", "tacto-norte"); out.State != change.StateAccepted {
		t.Errorf("team of the other organisation: %+v", out)
	}
}
