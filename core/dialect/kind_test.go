package dialect

import "testing"

// Guards against trusting a statement that does not carry the ID of the dispatch, and against
// passing a response to another request. It checks each combination of statement and IDs.
func TestStatementsNeedTheRequestID(t *testing.T) {
	for s := StatesResult; s <= StatesNothing; s++ {
		for _, id := range []string{"", "a"} {
			d := Dispatch{ID: id}
			if got := KindOf(Answer{Statement: s}, d); (got == Own) != (s == StatesResult) || got != Own && got != Spoiled {
				t.Errorf("statement %d of a dialect without IDs to %q: kind %d", s, id, got)
			}
			if got := KindOf(Answer{Statement: s, Named: true, ID: "b"}, d); got != Foreign {
				t.Errorf("statement %d to a request other than %q: kind %d", s, id, got)
			}
		}
		withoutID, withID := Answer{Statement: s, Named: true}, Answer{Statement: s, Named: true, ID: "a"}
		if got := KindOf(withoutID, Dispatch{ID: "a"}); got != Spoiled {
			t.Errorf("statement %d without an ID: kind %d", s, got)
		}
		if got := KindOf(withoutID, Dispatch{}); (got == Own) != (s == StatesResult) || got != Own && got != Spoiled {
			t.Errorf("statement %d without an ID to a request without one: kind %d", s, got)
		}
		want := map[Statement]Kind{StatesResult: Own, StatesNotRun: Rejected, StatesOtherUpstream: Misdirected, StatesNothing: Spoiled}[s]
		if got := KindOf(withID, Dispatch{ID: "a"}); got != want {
			t.Errorf("statement %d with the ID of the request: kind %d, want %d", s, got, want)
		}
		withID.Promise = true
		if want == Own {
			want = Spoiled
		}
		if got := KindOf(withID, Dispatch{ID: "a"}); got != want {
			t.Errorf("statement %d with a status that means not run: kind %d, want %d", s, got, want)
		}
	}
}
