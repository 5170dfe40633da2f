package catalog

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/celeryyard/celeryyard/core/change"
	"github.com/celeryyard/celeryyard/core/resource"
)

// Guards against scripts that never produce one of the outcomes, which the properties below
// would then not cover.
func TestScriptsProduceAllOutcomes(t *testing.T) {
	seen := map[change.Reason]int{}
	checkProperty(t, func(script []uint32) string {
		for _, a := range newState().applyScript(script) {
			seen[a.outcome.Reason]++
		}
		return ""
	})
	for _, r := range []change.Reason{"", change.ReasonRevisionMismatch, change.ReasonInUse, change.ReasonUnknownTemplate, change.ReasonExpansionFailed, change.ReasonHostTaken} {
		if seen[r] < 20 {
			t.Errorf("reason %q occurred %d times: %v", r, seen[r], seen)
		}
	}
}

// Guards against accepting two changes that expect the same revision, and against a revision
// that is used twice.
func TestEqualRevisionsAcceptExactlyOne(t *testing.T) {
	checkProperty(t, func(script []uint32) string {
		s := newState()
		for i, n := range script {
			first := s.scriptedChange(n, fmt.Sprintf("c%d", i))
			acceptedCount := 0
			for j := range 4 { // four operators submit a change based on the same read
				c := *first
				c.ID = fmt.Sprintf("c%d-%d", i, j)
				if s.apply(&c, 0).State == change.StateAccepted {
					acceptedCount++
				}
			}
			if acceptedCount > 1 {
				return fmt.Sprintf("%d of 4 changes (%s %s) of revision %d were accepted", acceptedCount, first.Action, first.Name, first.ExpectedRevision)
			}
		}
		return ""
	})
}

// Guards against a resend that is applied a second time, or whose answer differs from the
// first one because other changes were applied in between.
func TestResendsGetTheFirstAnswer(t *testing.T) {
	checkProperty(t, func(script []uint32) string {
		s := newState()
		changes := s.applyScript(script)
		before := s.mustEncode()
		for _, a := range changes {
			if out := s.apply(a.change, 99); out != a.outcome {
				return fmt.Sprintf("first answer %+v, resend %+v", a.outcome, out)
			}
		}
		if s.mustEncode() != before {
			return "resends changed the state"
		}
		return ""
	})
}

// Guards against a change that reuses the ID of a different change and takes effect, gets the
// answer to the first change, or replaces that answer.
func TestReusedIDIsRefused(t *testing.T) {
	checkProperty(t, func(script []uint32) string {
		s := newState()
		changes := s.applyScript(script)
		before := s.encodedConfig()
		for i, a := range changes {
			c := s.scriptedChange(script[len(script)-1-i], a.change.ID)
			if c.Digest() == a.change.Digest() {
				continue
			}
			if out := s.apply(c, 0); out.State != change.StateRefused || out.Reason != change.ReasonIDReused {
				return fmt.Sprintf("different change with the same ID: %+v", out)
			}
			if out := s.apply(a.change, 0); out != a.outcome {
				return fmt.Sprintf("first answer %+v, after the reuse %+v", a.outcome, out)
			}
		}
		if s.encodedConfig() != before {
			return "reused IDs changed the configuration"
		}
		return ""
	})
}

// Guards against a refused change that is partially applied: a template without its teams,
// a claim on a host, an incremented version.
func TestRefusedChangesNeverTakeEffect(t *testing.T) {
	checkProperty(t, func(script []uint32) string {
		s := newState()
		for i, n := range script {
			c := s.scriptedChange(n, fmt.Sprintf("c%d", i))
			config, hosts, version := s.encodedConfig(), fmt.Sprint(s.hostClaims), s.version
			out := s.apply(c, 0)
			if out.State == change.StateAccepted {
				revision := uint64(s.version)
				if c.Action == change.ActionWithdraw {
					revision = 0
				}
				if s.version != version+1 || out.Version != s.version || out.Revision != revision {
					return fmt.Sprintf("version %d after %d: %+v", s.version, version, out)
				}
			} else if s.encodedConfig() != config || fmt.Sprint(s.hostClaims) != hosts {
				return fmt.Sprintf("refused change %+v changed the configuration", out)
			}
		}
		return ""
	})
}

// Guards against a revised template that is applied to only some of its teams.
func TestTeamsMatchTheirTemplates(t *testing.T) {
	checkProperty(t, func(script []uint32) string {
		s := newState()
		for _, a := range s.applyScript(script) {
			if a.change.Kind == change.KindTemplate && a.outcome.Reason == change.ReasonExpansionFailed && !strings.HasPrefix(a.outcome.Text, `team "team`) {
				return fmt.Sprintf("the failing team is not named: %+v", a.outcome)
			}
		}
		for name, team := range s.teams {
			want, err := resource.Expand(s.templates[team.Team.Template].Template, team.Team)
			if err != nil || !reflect.DeepEqual(want, team.expansion) {
				return fmt.Sprintf("team %s differs from its template: %v", name, err)
			}
		}
		return ""
	})
}

// Guards against refused changes that affect accepted ones: without the refused changes, the
// outcomes and the configuration must be the same.
func TestRefusedChangesDoNotAffectAcceptedOnes(t *testing.T) {
	checkProperty(t, func(script []uint32) string {
		all, good := newState(), newState()
		for _, a := range all.applyScript(script) {
			if a.outcome.State != change.StateAccepted {
				continue
			}
			if out := good.apply(a.change, 0); out != a.outcome {
				return fmt.Sprintf("outcome %+v, without the refused changes %+v", a.outcome, out)
			}
		}
		if all.encodedConfig() != good.encodedConfig() {
			return "configuration differs from the one without the refused changes"
		}
		return ""
	})
}

// Guards against interference between organisations: a host that serves both of them, a
// team that changes its organisation, a change of the other organisation's team.
func TestOrganisationsDoNotInterfere(t *testing.T) {
	checkProperty(t, func(script []uint32) string {
		s := newState()
		for i, n := range script {
			c := s.scriptedChange(n, fmt.Sprintf("c%d", i))
			if t := s.teams[c.Name]; c.Kind == change.KindTeam && t != nil {
				other := *c
				other.ID += "-other"
				other.Organisation = organisations[(slices.Index(organisations, c.Organisation)+1)%2]
				other.Action, other.Body, other.ExpectedRevision = change.ActionWithdraw, nil, t.Revision
				if out := s.apply(&other, 0); out.Reason != change.ReasonNotFound || out.Revision != 0 {
					return fmt.Sprintf("withdraw of another organisation's team: %+v", out)
				}
			}
			s.apply(c, 0)
			owner := map[string]string{}
			for _, r := range s.resources {
				if r.Route == nil {
					continue
				}
				host := r.Route.Match.Host
				if o := owner[host]; o != "" && o != r.Route.Organisation {
					return fmt.Sprintf("host %s serves %s and %s", host, o, r.Route.Organisation)
				}
				owner[host] = r.Route.Organisation
			}
			if len(owner) != len(s.hostClaims) {
				return fmt.Sprintf("hosts in use %v, claims on hosts %v", owner, s.hostClaims)
			}
		}
		return ""
	})
}

// Guards against a snapshot that lacks state: answers, history, claims or records.
func TestRestoreEqualsReplay(t *testing.T) {
	checkProperty(t, func(script []uint32) string {
		replayed := newState()
		changes := replayed.applyScript(script)
		s := newState()
		for i, a := range changes {
			if i%7 == 3 {
				restored, err := decodeState([]byte(s.mustEncode()))
				if err != nil {
					return err.Error()
				}
				s = restored
			}
			if out := s.apply(a.change, int64(i)); out != a.outcome {
				return fmt.Sprintf("outcome %+v, after a restore %+v", a.outcome, out)
			}
			if out := s.apply(changes[i/2].change, int64(i)); out != changes[i/2].outcome {
				return fmt.Sprintf("outcome %+v, for the resend after a restore %+v", changes[i/2].outcome, out)
			}
		}
		if s.mustEncode() != replayed.mustEncode() {
			return "restored state differs from the replayed one"
		}
		for from := range s.version {
			if !reflect.DeepEqual(s.delta(from, nil), replayed.delta(from, nil)) {
				return fmt.Sprintf("delta from %d differs after a restore", from)
			}
		}
		return ""
	})
}

// Guards against deltas that leave a node with different resources than a full set would, or
// with a route whose cluster the node does not hold.
func TestDeltaEqualsFullSet(t *testing.T) {
	serviceSets := []map[string]bool{nil, {}, {"catalogo": true}, {"workroom": true}, {"taller": true, "order-desk": true}}
	for _, keptVersions := range []int{maxHistoryVersions, 3} {
		checkProperty(t, func(script []uint32) string {
			s := newState()
			s.history.maxVersions = keptVersions
			// snapshots holds, by version, the snapshot of a node for each set of services.
			snapshots := map[resource.Version][]*resource.Snapshot{}
			for i, n := range script {
				s.apply(s.scriptedChange(n, fmt.Sprintf("c%d", i)), 0)
				if snapshots[s.version] == nil {
					for _, serviceSet := range serviceSets {
						held, err := s.nodeSnapshot(serviceSet)
						if err != nil {
							return err.Error()
						}
						snapshots[s.version] = append(snapshots[s.version], held)
					}
				}
				for from := range snapshots {
					if fault := s.compareDelta(from, serviceSets, snapshots); fault != "" {
						return fault
					}
				}
			}
			return ""
		})
	}
}

// compareDelta applies the deltas after version from to the snapshots of that version and
// compares the results with the newest snapshots. It returns a description of the first
// difference, or an empty text if there is none.
func (s *state) compareDelta(from resource.Version, serviceSets []map[string]bool, snapshots map[resource.Version][]*resource.Snapshot) string {
	for i, serviceSet := range serviceSets {
		d := s.delta(from, serviceSet)
		got, err := snapshots[from][i].Apply(newUpdate(d))
		if err != nil {
			return err.Error()
		}
		want := snapshots[s.version][i]
		if got.Version != want.Version || !reflect.DeepEqual(got.Routes, want.Routes) || !reflect.DeepEqual(got.Clusters, want.Clusters) {
			return fmt.Sprintf("delta from %d to %d for %v: %+v", from, s.version, serviceSet, d)
		}
		for _, key := range d.Removes {
			held := snapshots[from][i]
			if held.Routes[key.Name] == nil && held.Clusters[key.Name] == nil {
				return fmt.Sprintf("delta from %d removes %v, which the node does not hold", from, key)
			}
		}
	}
	return ""
}
