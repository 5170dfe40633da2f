package closures

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/celeryyard/celeryyard/core/resource"
)

func closure(id string, at int64, n uint64, final bool) resource.Closure {
	return resource.Closure{Start: resource.UpstreamStart{ID: id, StartedAtMillis: at, Sequence: n}, Final: final}
}

// Guards against a closure that another one makes forgotten: of another node, another upstream, another start or an earlier
// report; against a snapshot that loses one; and against instances that differ after the same entries.
func TestStateCoversWhatWasRecorded(t *testing.T) {
	entries := gen.SliceOf(gopter.CombineGens(gen.IntRange(0, 2), gen.IntRange(0, maxPerNode-1), gen.Int64Range(0, 2), gen.UInt64Range(0, 3), gen.Bool()).Map(func(v []any) entry {
		return entry{Node: fmt.Sprint("n", v[0]), Closure: closure(fmt.Sprint("i", v[1]), v[2].(int64), v[3].(uint64), v[4].(bool))}
	}))
	params := gopter.DefaultTestParametersWithSeed(48)
	params.MinSuccessfulTests = 1000
	props := gopter.NewProperties(params)
	props.Property("recorded closures are covered", prop.ForAllNoShrink(func(list []entry) bool {
		s := newState()
		for i, e := range list {
			s.apply(uint64(i+1), e)
			if s.apply(uint64(i+1), e) {
				return false // a repeated entry must change nothing
			}
		}
		data, err := s.encode()
		if err != nil {
			return false
		}
		r, err := decodeState(data)
		if err != nil {
			return false
		}
		again, err := r.encode()
		if err != nil || !bytes.Equal(again, data) {
			return false
		}
		for _, e := range list {
			u := e.Closure.Start
			covered := false
			for _, c := range r.nodes[e.Node].List {
				covered = covered || c.Covers(u)
			}
			if !covered {
				return false
			}
		}
		return true
	}, entries))
	props.TestingRun(t)
}

// Guards against a state that grows without bound through reports of other writers, and against one that then drops the newest.
func TestStateIsBounded(t *testing.T) {
	s := newState()
	s.maxNodes = 4
	index := uint64(0)
	for i := range 3 * maxPerNode {
		for n := range 3 * s.maxNodes {
			index++
			s.apply(index, entry{Node: fmt.Sprint("n", n), Closure: closure(fmt.Sprint("i", i), 1, 1, true)})
			if got := s.nodes[fmt.Sprint("n", n)]; got == nil || len(got.List) > maxPerNode || !got.List[len(got.List)-1].Covers(resource.UpstreamStart{ID: fmt.Sprint("i", i), StartedAtMillis: 1}) {
				t.Fatalf("node %d has %+v after upstream %d", n, got, i)
			}
		}
	}
	if len(s.nodes) != s.maxNodes {
		t.Fatalf("%d nodes are kept, want %d", len(s.nodes), s.maxNodes)
	}
}

// Guards against a list that a reader holds and that later entries change.
func TestReturnedListsDoNotChange(t *testing.T) {
	s := newState()
	s.apply(1, entry{Node: "n", Closure: closure("a", 1, 1, false)})
	held := s.nodes["n"].List
	s.apply(2, entry{Node: "n", Closure: closure("a", 1, 5, true)})
	s.apply(3, entry{Node: "n", Closure: closure("b", 2, 1, true)})
	if len(held) != 1 || held[0] != closure("a", 1, 1, false) {
		t.Fatalf("held list is %+v", held)
	}
}

// Guards against snapshots that exceed a bound, name something twice or lack a name, and against bytes that end the process.
func FuzzDecodeState(f *testing.F) {
	s := newState()
	s.apply(1, entry{Node: "n", Closure: closure("a", 1, 1, true)})
	good, err := s.encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(good)
	for _, bad := range []string{
		`{"format":2,"nodes":[]}`, `{"format":1,"nodes":[null]}`, `{"format":1,"nodes":[{"n":"n","l":[],"i":1}]}`,
		`{"format":1,"nodes":[{"n":"","l":[{"s":{"id":"a"}}],"i":1}]}`, `{"format":1,"nodes":[{"n":"n","l":[{"s":{"id":"a"}},{"s":{"id":"a"}}],"i":1}]}`,
		`{"format":1,"nodes":[{"n":"n","l":[{"f":true}],"i":1}]}`,
	} {
		if _, err := decodeState([]byte(bad)); err == nil {
			f.Errorf("accepted: %s", bad)
		}
		f.Add([]byte(bad))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := decodeState(data)
		if err != nil {
			return
		}
		again, err := s.encode()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := decodeState(again); err != nil {
			t.Fatalf("encoding of a decoded state is refused: %v", err)
		}
	})
}
