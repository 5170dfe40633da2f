package dialect

import "testing"

// Guards against a statement that is believed though nothing ties it to the dispatch,
// and against an answer that is passed to another request. Each combination of
// statement and names is asked.
func TestOnlyTiedStatementsAreBelieved(t *testing.T) {
	for s := StatesResult; s <= StatesNothing; s++ {
		for _, id := range []string{"", "a"} {
			d := Dispatch{ID: id}
			if got := KindOf(Answer{Statement: s}, d); (got == Own) != (s == StatesResult) || got != Own && got != Spoiled {
				t.Errorf("statement %d of a dialect without names to %q: kind %d", s, id, got)
			}
			if got := KindOf(Answer{Statement: s, Named: true, ID: "b"}, d); got != Foreign {
				t.Errorf("statement %d to another request than %q: kind %d", s, id, got)
			}
		}
		unnamed, tied := Answer{Statement: s, Named: true}, Answer{Statement: s, Named: true, ID: "a"}
		if got := KindOf(unnamed, Dispatch{ID: "a"}); got != Spoiled {
			t.Errorf("statement %d without a name: kind %d", s, got)
		}
		if got := KindOf(unnamed, Dispatch{}); (got == Own) != (s == StatesResult) || got != Own && got != Spoiled {
			t.Errorf("statement %d without a name to a request without one: kind %d", s, got)
		}
		want := map[Statement]Kind{StatesResult: Own, StatesNotRun: Rejected, StatesOtherUpstream: Misdirected, StatesNothing: Spoiled}[s]
		if got := KindOf(tied, Dispatch{ID: "a"}); got != want {
			t.Errorf("statement %d that names the request: kind %d, want %d", s, got, want)
		}
		tied.Promise = true
		if want == Own {
			want = Spoiled
		}
		if got := KindOf(tied, Dispatch{ID: "a"}); got != want {
			t.Errorf("statement %d with the status of a promise: kind %d, want %d", s, got, want)
		}
	}
}
