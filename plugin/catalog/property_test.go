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

// Guards against scripts that do not reach some decision, so that the properties
// below would say nothing of it.
func TestScriptsReachTheDecisions(t *testing.T) {
	seen := map[change.Reason]int{}
	check(t, func(script []uint32) string {
		for _, a := range newState().play(script) {
			seen[a.out.Reason]++
		}
		return ""
	})
	for _, r := range []change.Reason{"", change.ReasonRevision, change.ReasonInUse, change.ReasonNoTemplate, change.ReasonExpansion, change.ReasonHostTaken} {
		if seen[r] < 20 {
			t.Errorf("reason %q is reached %d times: %v", r, seen[r], seen)
		}
	}
}

// Guards against two changes that are both accepted on one revision, and against
// a revision that is reached twice.
func TestEqualRevisionsAcceptExactlyOne(t *testing.T) {
	check(t, func(script []uint32) string {
		s := newState()
		for i, n := range script {
			first := s.decode(n, fmt.Sprintf("c%d", i))
			won := 0
			for j := range 4 { // four operators race with what they read at the same time
				c := *first
				c.ID = fmt.Sprintf("c%d-%d", i, j)
				if s.apply(&c, 0).State == change.StateAccepted {
					won++
				}
			}
			if won > 1 {
				return fmt.Sprintf("%d of 4 changes %s %s on revision %d are accepted", won, first.Action, first.Name, first.ExpectedRevision)
			}
		}
		return ""
	})
}

// Guards against a resend that is executed again or answered otherwise, at once
// or after other changes.
func TestResendsGetTheFirstAnswer(t *testing.T) {
	check(t, func(script []uint32) string {
		s := newState()
		list := s.play(script)
		before := s.encoded()
		for _, a := range list {
			if out := s.apply(a.c, 99); out != a.out {
				return fmt.Sprintf("first answer %+v, resend %+v", a.out, out)
			}
		}
		if s.encoded() != before {
			return "resends changed the state"
		}
		return ""
	})
}

// Guards against another change under a used ID that takes effect, gets the
// answer to the first one, or takes its place.
func TestReusedIDIsRefused(t *testing.T) {
	check(t, func(script []uint32) string {
		s := newState()
		list := s.play(script)
		before := s.config()
		for i, a := range list {
			c := s.decode(script[len(script)-1-i], a.c.ID)
			if c.Digest() == a.c.Digest() {
				continue
			}
			if out := s.apply(c, 0); out.State != change.StateRefused || out.Reason != change.ReasonIDReused {
				return fmt.Sprintf("other body under the same ID: %+v", out)
			}
			if out := s.apply(a.c, 0); out != a.out {
				return fmt.Sprintf("first answer %+v, after the reuse %+v", a.out, out)
			}
		}
		if s.config() != before {
			return "reused IDs changed the configuration"
		}
		return ""
	})
}

// Guards against a refused change that takes effect in part: a template without
// its teams, a claim on a host, a raised version.
func TestRefusedChangesNeverTakeEffect(t *testing.T) {
	check(t, func(script []uint32) string {
		s := newState()
		for i, n := range script {
			c := s.decode(n, fmt.Sprintf("c%d", i))
			config, hosts, version := s.config(), fmt.Sprint(s.hosts), s.version
			out := s.apply(c, 0)
			if out.State == change.StateAccepted {
				revision := uint64(s.version)
				if c.Action == change.ActionWithdraw {
					revision = 0
				}
				if s.version != version+1 || out.Version != s.version || out.Revision != revision {
					return fmt.Sprintf("version %d after %d: %+v", s.version, version, out)
				}
			} else if s.config() != config || fmt.Sprint(s.hosts) != hosts {
				return fmt.Sprintf("refused change %+v changed the configuration", out)
			}
		}
		return ""
	})
}

// Guards against a revised template that is in force for some of its teams only.
func TestTeamsMatchTheirTemplates(t *testing.T) {
	check(t, func(script []uint32) string {
		s := newState()
		for _, a := range s.play(script) {
			if a.c.Kind == change.KindTemplate && a.out.Reason == change.ReasonExpansion && !strings.HasPrefix(a.out.Text, `team "team`) {
				return fmt.Sprintf("the failing team is not named: %+v", a.out)
			}
		}
		for name, team := range s.teams {
			want, err := resource.Expand(s.templates[team.Team.Template].Template, team.Team)
			if err != nil || !reflect.DeepEqual(want, team.out) {
				return fmt.Sprintf("team %s differs from its template: %v", name, err)
			}
		}
		return ""
	})
}

// Guards against bad changes that spoil good ones around them: without them the
// configuration is the same.
func TestBadChangesAmongGoodOnes(t *testing.T) {
	check(t, func(script []uint32) string {
		all, good := newState(), newState()
		for _, a := range all.play(script) {
			if a.out.State != change.StateAccepted {
				continue
			}
			if out := good.apply(a.c, 0); out != a.out {
				return fmt.Sprintf("answer %+v, without the bad changes %+v", a.out, out)
			}
		}
		if all.config() != good.config() {
			return "configuration differs from that without the bad changes"
		}
		return ""
	})
}

// Guards against organisations that notice each other: a host that serves both,
// a team that changes hands, a change of the other one's team.
func TestOrganisationsAtOnce(t *testing.T) {
	check(t, func(script []uint32) string {
		s := newState()
		for i, n := range script {
			c := s.decode(n, fmt.Sprintf("c%d", i))
			if t := s.teams[c.Name]; c.Kind == change.KindTeam && t != nil {
				other := *c
				other.ID += "-other"
				other.Organisation = organisations[(slices.Index(organisations, c.Organisation)+1)%2]
				other.Action, other.Body, other.ExpectedRevision = change.ActionWithdraw, nil, t.Revision
				if out := s.apply(&other, 0); out.Reason != change.ReasonAbsent || out.Revision != 0 {
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
			if len(owner) != len(s.hosts) {
				return fmt.Sprintf("hosts in use %v, claims %v", owner, s.hosts)
			}
		}
		return ""
	})
}

// Guards against a snapshot that loses state: answers, history, claims, records.
func TestRestoreEqualsReplay(t *testing.T) {
	check(t, func(script []uint32) string {
		replayed := newState()
		list := replayed.play(script)
		s := newState()
		for i, a := range list {
			if i%7 == 3 {
				restored, err := decodeState([]byte(s.encoded()))
				if err != nil {
					return err.Error()
				}
				s = restored
			}
			if out := s.apply(a.c, int64(i)); out != a.out {
				return fmt.Sprintf("answer %+v, after a restore %+v", a.out, out)
			}
			if out := s.apply(list[i/2].c, int64(i)); out != list[i/2].out {
				return fmt.Sprintf("answer %+v, to the resend after a restore %+v", list[i/2].out, out)
			}
		}
		if s.encoded() != replayed.encoded() {
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

// Guards against deltas that leave a node with other resources than a full set
// would, or with a route whose cluster it does not hold.
func TestDeltaEqualsFullSet(t *testing.T) {
	sets := []map[string]bool{nil, {}, {"catalogo": true}, {"workroom": true}, {"taller": true, "order-desk": true}}
	for _, kept := range []int{maxHistoryVersions, 3} {
		check(t, func(script []uint32) string {
			s := newState()
			s.history.maxVersions = kept
			// at holds, for each version and each set of services, what a node holds.
			at := map[resource.Version][]*resource.Snapshot{}
			for i, n := range script {
				s.apply(s.decode(n, fmt.Sprintf("c%d", i)), 0)
				if at[s.version] == nil {
					for _, wanted := range sets {
						held, err := s.node(wanted)
						if err != nil {
							return err.Error()
						}
						at[s.version] = append(at[s.version], held)
					}
				}
				for from := range at {
					if fault := s.compareDelta(from, sets, at); fault != "" {
						return fault
					}
				}
			}
			return ""
		})
	}
}

func (s *state) compareDelta(from resource.Version, sets []map[string]bool, at map[resource.Version][]*resource.Snapshot) string {
	for i, wanted := range sets {
		d := s.delta(from, wanted)
		got, err := at[from][i].Apply(update(d))
		if err != nil {
			return err.Error()
		}
		want := at[s.version][i]
		if got.Version != want.Version || !reflect.DeepEqual(got.Routes, want.Routes) || !reflect.DeepEqual(got.Clusters, want.Clusters) {
			return fmt.Sprintf("delta from %d to %d for %v: %+v", from, s.version, wanted, d)
		}
		for _, key := range d.Removes {
			held := at[from][i]
			if held.Routes[key.Name] == nil && held.Clusters[key.Name] == nil {
				return fmt.Sprintf("delta from %d removes %v, which the node does not hold", from, key)
			}
		}
	}
	return ""
}
