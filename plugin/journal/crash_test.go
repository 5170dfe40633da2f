package journal

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/celeryyard/celeryyard/core/replog"
)

var long = flag.Int("long", 1, "factor by which property tests run longer")

// action is one call on the store, with its effect on the expected state.
type action struct {
	name string
	do   func(*Store) error
	then State
}

// script draws calls as a member would make them: appends, replaced tails,
// votes, releases, snapshots of its own and snapshots of a leader.
func script(rng *rand.Rand, n int) []action {
	m := State{Member: 7}
	list := []action{{"member", func(s *Store) error { return s.Save(Batch{Member: 7}) }, m}}
	for range n {
		var a action
		switch last := m.Snapshot.Index + uint64(len(m.Entries)); {
		case rng.IntN(6) == 0 && len(m.Entries) > 0:
			k := rng.IntN(len(m.Entries)) + 1
			e := m.Entries[k-1]
			snap := replog.Snapshot{Index: e.Index, Term: e.Term, Config: testConfig, Data: []byte(fmt.Sprint("state", e.Index))}
			m.Snapshot, m.Entries = snap, append([]replog.Entry(nil), m.Entries[k:]...)
			a = action{"snapshot", func(s *Store) error { return s.SaveSnapshot(snap, false) }, m}
		case rng.IntN(8) == 0:
			snap := replog.Snapshot{Index: last + uint64(rng.IntN(3)) + 1, Term: m.Hard.Term + 1, Config: testConfig, Data: []byte("leader")}
			m.Snapshot, m.Entries = snap, nil
			a = action{"install", func(s *Store) error { return s.SaveSnapshot(snap, true) }, m}
		default:
			b := batch(rng, &m, last)
			a = action{"save", func(s *Store) error { return s.Save(b) }, m}
		}
		list = append(list, a)
	}
	return list
}

var testConfig = replog.Config{Members: []replog.Member{{ID: 7, Name: "a", Voter: true}}}

// batch draws entries that may replace the tail of the log.
func batch(rng *rand.Rand, m *State, last uint64) Batch {
	m.Hard.Term += uint64(rng.IntN(2))
	m.Hard.Vote = replog.MemberID(rng.IntN(3))
	hard := m.Hard
	b := Batch{Hard: &hard}
	if rng.IntN(3) == 0 {
		m.Released++
		b.Released = m.Released
	}
	first := last + 1
	if len(m.Entries) > 0 && rng.IntN(3) == 0 {
		first = m.Snapshot.Index + 1 + uint64(rng.IntN(len(m.Entries)))
	}
	for i := range rng.IntN(4) {
		e := replog.Entry{Index: first + uint64(i), Term: m.Hard.Term + 1, Kind: replog.KindData, Data: make([]byte, 1+rng.IntN(20))}
		if rng.IntN(10) == 0 {
			config := testConfig
			e.Kind, e.Data, e.Config = replog.KindConfig, nil, &config
		}
		b.Entries = append(b.Entries, e)
	}
	if len(b.Entries) > 0 {
		kept := m.Entries[:first-m.Snapshot.Index-1]
		m.Entries = append(append([]replog.Entry(nil), kept...), b.Entries...)
	}
	return b
}

func openSim(fs FS) (*Store, Opened, error) {
	salts := rand.New(rand.NewPCG(1, 1))
	return Open(Options{FS: fs, Dir: "j", SegmentBytes: 200, Salts: salts.Uint64})
}

// play runs the script and returns the number of acknowledged calls.
func play(s *Store, list []action) int {
	for i, a := range list {
		if a.do(s) != nil {
			return i
		}
	}
	return len(list)
}

// crashAt plays the script until the given step fails, and returns the file
// system and the number of acknowledged calls.
func crashAt(list []action, step int, fail error, forget bool) (*simFS, int) {
	fs := newSimFS()
	fs.left, fs.fail, fs.forget = step, fail, forget
	s, _, err := openSim(fs)
	if err != nil {
		return fs, 0
	}
	return fs, play(s, list)
}

// checkRecovery opens what a crash left: the state must be that after the last
// acknowledged call, or that after the interrupted one. It then interrupts a
// second recovery, and writes on.
func checkRecovery(fs *simFS, list []action, acked, interrupt int) error {
	again := fs.after(namesKept, 1<<30, false)
	again.left = interrupt % 5 // a crash during recovery must harm nothing
	_, _, _ = openSim(again)
	fs = again.after(interrupt%3, 1<<30, false)
	s, opened, err := openSim(fs)
	if err != nil {
		return err
	}
	got := opened.State
	ok := acked == 0 && got.Member == 0
	for i := max(acked-1, 0); i <= min(acked, len(list)-1); i++ {
		ok = ok || sameState(got, list[i].then)
	}
	if !ok {
		return errors.Newf("recovered %+v after %d calls, want %+v", got, acked, list[max(acked-1, 0)].then)
	}
	e := replog.Entry{Index: got.Snapshot.Index + uint64(len(got.Entries)) + 1, Term: 99, Kind: replog.KindEmpty}
	if err := s.Save(Batch{Entries: []replog.Entry{e}}); err != nil {
		return err
	}
	_, opened, err = openSim(fs.after(namesKept, 0, false))
	if err == nil && len(opened.State.Entries) != len(got.Entries)+1 {
		err = errors.New("an entry saved after recovery is missing")
	}
	return err
}

func sameState(a, b State) bool {
	if len(a.Entries) != len(b.Entries) || a.Hard != b.Hard || a.Released != b.Released || a.Member != b.Member {
		return false
	}
	for i := range a.Entries {
		x, y := a.Entries[i], b.Entries[i]
		if x.Index != y.Index || x.Term != y.Term || x.Kind != y.Kind || string(x.Data) != string(y.Data) || !reflect.DeepEqual(x.Config, y.Config) {
			return false
		}
	}
	return a.Snapshot.Index == b.Snapshot.Index && a.Snapshot.Term == b.Snapshot.Term && string(a.Snapshot.Data) == string(b.Snapshot.Data)
}

// crashEverywhere crashes at each step of the script, in steps of stride, and
// checks the recovery for what a power loss may leave.
func crashEverywhere(list []action, stride int, forget bool) error {
	whole, _ := crashAt(list, -1, errCrash, forget)
	for step := 0; step < whole.steps; step += stride {
		fs, acked := crashAt(list, step, errCrash, forget)
		for _, names := range []int{namesLost, namesKept, namesMixed} {
			for _, keep := range []int{0, 9, 1 << 30} {
				for _, zero := range []bool{false, true} {
					if zero && keep != 9 {
						continue // without unsynced bytes, or with all of them, nothing reads as zeros
					}
					if err := checkRecovery(fs.after(names, keep, zero), list, acked, step/stride+keep); err != nil {
						return errors.Wrapf(err, "crash at step %d of %d, names %d, keep %d, zero %v", step, whole.steps, names, keep, zero)
					}
				}
			}
		}
	}
	return nil
}

// Guards against acknowledged records that are lost, changed or invented by a
// power loss at any byte or sync, in saves, rotation, snapshots and recovery.
func TestCrashAtEveryByteAndSync(t *testing.T) {
	list := script(rand.New(rand.NewPCG(3, 3)), 10)
	if err := crashEverywhere(list, 1, false); err != nil {
		t.Fatal(err)
	}
}

// Guards against the same with many other sequences of calls.
func TestCrashInRandomScripts(t *testing.T) {
	p := gopter.DefaultTestParametersWithSeed(11)
	p.MinSuccessfulTests = 4 * *long
	props := gopter.NewProperties(p)
	props.Property("recovery is exact", prop.ForAll(func(seed uint64) string {
		rng := rand.New(rand.NewPCG(seed, 5))
		if err := crashEverywhere(script(rng, 20), 17+rng.IntN(41), false); err != nil {
			return err.Error()
		}
		return ""
	}, gen.UInt64()))
	props.TestingRun(t)
}

// Guards against a crash test that would not notice missing syncs.
func TestMissingSyncIsNoticed(t *testing.T) {
	if crashEverywhere(script(rand.New(rand.NewPCG(3, 3)), 14), 7, true) == nil {
		t.Fatal("recovery passed although no sync reached the disk")
	}
}

// Guards against a store that goes on after a full disk, and against a full
// disk that damages what was acknowledged.
func TestFullDiskAtEveryStep(t *testing.T) {
	list := script(rand.New(rand.NewPCG(9, 4)), 14)
	whole, _ := crashAt(list, -1, errSpace, false)
	for step := range whole.steps {
		fs, acked := crashAt(list, step, errSpace, false)
		if err := checkRecovery(fs.after(namesKept, 1<<30, false), list, acked, step); err != nil {
			t.Fatalf("disk full at step %d: %v", step, err)
		}
	}
	fs := newSimFS()
	s, _, err := openSim(fs)
	if err != nil {
		t.Fatal(err)
	}
	fs.left, fs.fail = 3, errSpace
	if err := s.Save(Batch{Member: 1}); !errors.Is(err, errSpace) {
		t.Fatalf("save on a full disk: %v", err)
	}
	fs.dead, fs.left = false, -1
	if err := s.Save(Batch{Member: 2}); !errors.Is(err, errSpace) {
		t.Fatalf("save after a failed one: %v", err)
	}
}

// Guards against damaged records that are taken for an interrupted write and
// silently dropped, and against damage reported without its place.
func TestEveryDamagedByteIsReported(t *testing.T) {
	var whole *simFS
	var before State
	var last string
	lastFrame, frames := 0, 0
	for n := 14; frames < 4; n++ { // the last segment shall hold several frames
		list := script(rand.New(rand.NewPCG(3, 3)), n)
		whole, _ = crashAt(list, -1, errCrash, false)
		s, _, err := openSim(whole.after(namesKept, 0, false))
		if err != nil {
			t.Fatal(err)
		}
		before, last = list[len(list)-1].then, "j/"+segmentName(s.seq)
		lastFrame, frames = lastFrameOf(whole.names[last].data, s.seq)
	}
	for name, f := range whole.names {
		for at := range f.data {
			fs := whole.after(namesKept, 0, false)
			fs.names[name].data[at] ^= 0x20
			_, opened, err := openSim(fs)
			var corrupt *CorruptError
			switch {
			case errors.As(err, &corrupt):
				// Without the last frame, the snapshot it names may be what is missed.
				inLast := name == last && at >= lastFrame
				if !inLast && (corrupt.File != name || corrupt.Offset > int64(at)) {
					t.Fatalf("damage at %s:%d reported as %v", name, at, corrupt)
				}
			case err != nil:
				t.Fatalf("damage at %s:%d: %v", name, at, err)
			case name != last || at < lastFrame || opened.TornBytes == 0:
				t.Fatalf("damage at %s:%d went unnoticed", name, at)
			case sameState(opened.State, before):
				t.Fatalf("damage at %s:%d removed nothing", name, at)
			}
		}
	}
}

// lastFrameOf returns the offset of the last frame of a segment and their number.
func lastFrameOf(b []byte, seq uint64) (offset, n int) {
	salt, _ := parseSegmentHeader(b, seq)
	for next := segmentHeader; next < len(b); n++ {
		payload, _ := parseFrame(b, salt, next)
		offset = next
		next += frameHeader + len(payload)
	}
	return offset, n
}
