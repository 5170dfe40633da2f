package idempotency

import (
	"testing"
	"time"

	"github.com/celeryyard/celeryyard/core/resource"
	"github.com/celeryyard/celeryyard/kernel"
	"github.com/celeryyard/celeryyard/kernel/rank"
)

// newUnstarted returns the decisions of a node named p without network.
func newUnstarted() *Idempotency {
	return &Idempotency{
		c: &kernel.Context{Instance: kernel.Instance{Name: "p"}}, s: &Settings{}, boot: 1, mu: rank.NewMutex(rank.Idempotency), claims: newClaimTable(9, 1<<20),
		sets: map[string]*resource.EndpointSet{}, claimedServices: map[string]bool{}, joinStates: map[string]joinState{},
	}
}

// Guards against a primary that calls a claim free whose call runs or has run, or which it cannot know because it was
// restarted; and against one that keeps a released claim from being free.
func TestOnlyTheProcessThatMadeAClaimFreesIt(t *testing.T) {
	claim := Record{ID: "id", Hash: "h", State: StateRunning, Primary: "p", Boot: 1, Seq: 3}
	for _, c := range []struct {
		name  string
		asked Record
		// prepare fills the table of the asked process.
		prepare func(t *claimTable)
		want    Result
		state   State
	}{
		{"released", claim, func(*claimTable) {}, ResultNew, ""},
		{"running", claim, func(t *claimTable) { t.claim(&claim, start, time.Minute) }, ResultKnown, StateRunning},
		{"ended", claim, func(t *claimTable) {
			t.claim(&claim, start, time.Minute)
			t.finish("id", StateAnswered, &Answer{Status: 200}, start, time.Minute)
		}, ResultKnown, StateAnswered},
		{"may have run", claim, func(t *claimTable) {
			t.claim(&claim, start, time.Minute)
			t.finish("id", StateUnknown, nil, start, time.Minute)
		}, ResultKnown, StateUnknown},
		{"claimed again", Record{ID: "id", Hash: "h", State: StateRunning, Primary: "p", Boot: 1, Seq: 2},
			func(t *claimTable) { t.claim(&claim, start, time.Minute) }, ResultKnown, StateRunning},
		{"restarted", Record{ID: "id", Hash: "h", State: StateRunning, Primary: "p", Boot: 7, Seq: 3}, func(*claimTable) {}, ResultKnown, StateUnknown},
		{"of another process", Record{ID: "id", Hash: "h", State: StateRunning, Primary: "q", Boot: 1, Seq: 3}, func(*claimTable) {}, ResultKnown, StateUnknown},
	} {
		p := newUnstarted()
		c.prepare(p.claims)
		got := p.statusOf(&c.asked, start)
		if got.Result != c.want || c.want == ResultKnown && got.Record.State != c.state {
			t.Errorf("%s: %+v with record %+v", c.name, got, got.Record)
		}
	}
}

// Guards against an outcome that is lost because an older record of another holder, which arrives after it, replaces it.
func TestAdoptedRecordDoesNotReplaceTheOutcome(t *testing.T) {
	own := &Record{ID: "id", Hash: "h", State: StateRunning, Primary: "p", Boot: 1, Seq: 1}
	earlier := &Record{ID: "id", Hash: "h", State: StateRunning, Primary: "q", Boot: 5, Seq: 9}
	answered := *earlier
	answered.State, answered.Reply = StateAnswered, &Answer{Status: 200}
	table := newClaimTable(9, 1<<20)
	table.claim(own, start, time.Minute)
	if got := table.adopt(own, earlier, start, time.Minute); got.Primary != "q" || got.State != StateRunning {
		t.Errorf("adopted %+v", got)
	}
	table.merge(&answered, start, time.Minute)
	if got := table.adopt(own, earlier, start, time.Minute); got.State != StateAnswered {
		t.Errorf("the stored answer was replaced by %+v", got)
	}
	table = newClaimTable(9, 1<<20)
	table.claim(own, start, time.Minute)
	table.adopt(own, earlier, start, time.Minute)
	table.release(earlier)
	if len(table.records) != 0 {
		t.Error("an adopted claim is not released with the claim that it is a copy of")
	}
}
