package statemachine

import (
	"bytes"
	"slices"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// logMachine keeps the entries that it has applied.
type logMachine struct{ entries [][]byte }

func (m *logMachine) Apply(_ uint64, data []byte) any {
	m.entries = append(m.entries, bytes.Clone(data))
	return len(m.entries)
}

func (m *logMachine) Snapshot() ([]byte, error) { return bytes.Join(m.entries, []byte("|")), nil }

func (m *logMachine) Restore(snapshot []byte) error {
	m.entries = nil
	if len(snapshot) > 0 {
		m.entries = bytes.Split(bytes.Clone(snapshot), []byte("|"))
	}
	return nil
}

func newTestSet() (*Set, map[string]*logMachine) {
	machines := map[string]*logMachine{"": {}, "a": {}, "bc": {}}
	s := &Set{}
	s.SetMain(machines[""])
	s.Add("a", machines["a"])
	s.Add("bc", machines["bc"])
	return s, machines
}

// Guards against entries that reach another machine than the one that they were proposed for, and against a machine whose
// state a snapshot loses, whatever bytes the entries start with.
func TestEntriesAndSnapshotsReachTheirMachine(t *testing.T) {
	type step struct {
		name string
		data []byte
	}
	steps := gen.SliceOf(gopter.CombineGens(gen.OneConstOf("", "a", "bc"), gen.SliceOf(gen.OneConstOf(byte(0), byte(tag), byte(2), byte('{'), byte('a')))).Map(func(v []any) step {
		return step{v[0].(string), v[1].([]byte)}
	}))
	params := gopter.DefaultTestParametersWithSeed(47)
	params.MinSuccessfulTests = 1000
	props := gopter.NewProperties(params)
	props.Property("entries and snapshots", prop.ForAllNoShrink(func(list []step) bool {
		s, machines := newTestSet()
		want := map[string][][]byte{}
		for i, st := range list {
			want[st.name] = append(want[st.name], st.data)
			if s.Apply(uint64(i+1), Entry(st.name, st.data)) != len(want[st.name]) {
				return false
			}
		}
		for name, m := range machines {
			if !slices.EqualFunc(m.entries, want[name], bytes.Equal) {
				return false
			}
		}
		snapshot, err := s.Snapshot()
		if err != nil {
			return false
		}
		r, restored := newTestSet()
		restored["a"].entries = [][]byte{[]byte("from before")}
		if r.Restore(snapshot) != nil {
			return false
		}
		for name, m := range restored {
			want, _ := machines[name].Snapshot()
			if got, _ := m.Snapshot(); !bytes.Equal(got, want) {
				return false
			}
		}
		return true
	}, steps))
	props.TestingRun(t)
}

// Guards against a program that cannot read the log and the snapshots that one without added machines has written, and
// against one whose snapshots change although no added machine has a state.
func TestSetWithoutAddedStateKeepsTheEncoding(t *testing.T) {
	s, machines := newTestSet()
	if err := s.Restore([]byte(`{"format":1}`)); err != nil {
		t.Fatal(err)
	}
	s.Apply(1, []byte(`{"t":1}`))
	if got, _ := s.Snapshot(); string(got) != `{"format":1}|{"t":1}` || len(machines[""].entries) != 2 {
		t.Fatalf("snapshot is %q", got)
	}
}

// Guards against an entry or a snapshot of an unknown machine that changes another one or ends the process.
func TestUnknownMachineIsRefused(t *testing.T) {
	s, machines := newTestSet()
	if _, ok := s.Apply(1, Entry("later", []byte("x"))).(error); !ok {
		t.Error("entry of an unknown machine was applied")
	}
	for _, data := range [][]byte{{tag}, {tag, 5, 'a'}} {
		if _, ok := s.Apply(1, data).(error); !ok {
			t.Errorf("malformed entry %x was applied", data)
		}
	}
	for _, snapshot := range [][]byte{
		appendState([]byte{tag}, "later", []byte("x")),
		appendState([]byte{tag}, "a", []byte("xyz"))[:8],
		append(appendState([]byte{tag}, "a", []byte("x")), appendState(nil, "a", []byte("y"))...),
	} {
		if s.Restore(snapshot) == nil {
			t.Errorf("malformed snapshot %x was restored", snapshot)
		}
	}
	for name, m := range machines {
		if len(m.entries) > 0 {
			t.Errorf("machine %q has changed", name)
		}
	}
}

// Guards against bytes of a snapshot that end the process.
func FuzzRestore(f *testing.F) {
	f.Add(appendState(appendState([]byte{tag}, "", []byte("m")), "a", []byte("x")))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, _ := newTestSet()
		if s.Restore(data) != nil {
			return
		}
		again, err := s.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		r, _ := newTestSet()
		if err := r.Restore(again); err != nil {
			t.Fatalf("snapshot of a restored state is refused: %v", err)
		}
	})
}
