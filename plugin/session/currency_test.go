package session

import (
	"testing"
	"time"

	"github.com/celeryyard/celeryyard/core/peerapi"
	"github.com/celeryyard/celeryyard/core/resource"
)

// Guards against a node that takes an old configuration for current, and so denies routes that exist: because of a
// statement about a version that it does not hold yet, of one that is old itself, or of one that makes no sense.
func TestCurrencyIsThatOfTheHeldVersion(t *testing.T) {
	start := time.Unix(1000, 0)
	after := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	type step struct {
		held      resource.Version // the version that the node holds from this step on; 0 if it stays
		statement *peerapi.Currency
		sentAt    int // ms after start
		want      int // confirmed at, ms after start; 0 for never
	}
	for _, c := range []struct {
		name  string
		steps []step
	}{
		{"held version", []step{{held: 5}, {statement: &peerapi.Currency{Version: 5, AgeMillis: 200}, sentAt: 1000, want: 800}}},
		{"later version than stated", []step{{held: 6}, {statement: &peerapi.Currency{Version: 5, AgeMillis: 200}, sentAt: 1000, want: 800}}},
		{"update on the way", []step{
			{held: 5},
			{statement: &peerapi.Currency{Version: 6, AgeMillis: 200}, sentAt: 1000},
			{held: 6, want: 800},
		}},
		{"update of an earlier version", []step{
			{held: 4},
			{statement: &peerapi.Currency{Version: 6, AgeMillis: 200}, sentAt: 1000},
			{held: 5},
		}},
		{"changes faster than updates", []step{
			{held: 4},
			{statement: &peerapi.Currency{Version: 5, AgeMillis: 100}, sentAt: 1000},
			{statement: &peerapi.Currency{Version: 6, AgeMillis: 100}, sentAt: 1500},
			{held: 5, want: 900},
			{statement: &peerapi.Currency{Version: 7, AgeMillis: 100}, sentAt: 2000, want: 900},
			{held: 6, want: 900},
			{held: 7, want: 1900},
		}},
		{"older statement of another instance", []step{
			{held: 5},
			{statement: &peerapi.Currency{Version: 5, AgeMillis: 100}, sentAt: 1000, want: 900},
			{statement: &peerapi.Currency{Version: 5, AgeMillis: 700}, sentAt: 1100, want: 900},
		}},
		{"no statement", []step{{held: 5}, {}}},
		{"statement without a version", []step{{held: 5}, {statement: &peerapi.Currency{AgeMillis: 1}, sentAt: 1000}}},
		{"negative age", []step{{held: 5}, {statement: &peerapi.Currency{Version: 5, AgeMillis: -5000}, sentAt: 1000}}},
		{"age that overflows", []step{{held: 5}, {statement: &peerapi.Currency{Version: 5, AgeMillis: 1 << 62}, sentAt: 1000}}},
	} {
		var cur currency
		held := resource.Version(0)
		for i, s := range c.steps {
			if s.held != 0 {
				held = s.held
				cur.apply(held)
			} else {
				cur.receive(s.statement, after(s.sentAt), held)
			}
			want := time.Time{}
			if s.want != 0 {
				want = after(s.want)
			}
			if !cur.confirmedAt.Equal(want) {
				t.Errorf("%s, step %d: confirmed at %v, want %v", c.name, i, cur.confirmedAt, want)
			}
		}
	}
}
