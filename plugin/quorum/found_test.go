package quorum

import (
	"testing"

	"github.com/celeryyard/celeryyard/core/replog"
)

// Guards against a second group: formed beside an existing one, by an instance
// other than the first listed voter, or before every listed voter is known.
func TestFoundingOfAGroup(t *testing.T) {
	listed := []string{"a", "b", "c"}
	config := &replog.Config{Members: []replog.Member{{ID: 1, Name: "a", Voter: true}}}
	ready := func(id replog.MemberID) foundAnswer { return foundAnswer{ID: id, Bootstrap: true} }
	for _, tc := range []struct {
		name, self string
		answers    map[string]foundAnswer
		want       foundingStep
	}{
		{"group without this member", "a", map[string]foundAnswer{"b": {Exists: true}}, foundRefuse},
		{"group with this member", "b", map[string]foundAnswer{"a": {Exists: true, Included: true, Config: config}}, foundForm},
		{"older group with this member", "b", map[string]foundAnswer{"a": {Exists: true, Included: true}}, foundFollow},
		{"one voter is missing", "a", map[string]foundAnswer{"b": ready(2)}, foundWait},
		{"one voter does not bootstrap", "a", map[string]foundAnswer{"b": ready(2), "c": {ID: 3}}, foundWait},
		{"a learner answers", "a", map[string]foundAnswer{"b": ready(2), "d": ready(4)}, foundWait},
		{"all voters at the first one", "a", map[string]foundAnswer{"b": ready(2), "c": ready(3)}, foundForm},
		{"all voters at another one", "b", map[string]foundAnswer{"a": ready(2), "c": ready(3)}, foundWait},
	} {
		f := &foundation{self: replog.Member{ID: 1, Name: tc.self}, listed: listed, ids: map[string]replog.MemberID{}}
		got := foundWait
		for _, name := range []string{"a", "b", "c", "d"} {
			if a, ok := tc.answers[name]; ok {
				got, _ = f.hear(name, a)
			}
		}
		if got != tc.want {
			t.Errorf("%s: step %d, want %d", tc.name, got, tc.want)
		}
	}
}
