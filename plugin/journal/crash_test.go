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

// operation is one call on the store, with the expected state after it.
type operation struct {
	name string
	run  func(*DiskStore) error
	want State
}

// randomOperations returns random calls as a member makes them: appended entries, replaced entries
// at the end of the log, votes, released versions, the member's own snapshots and snapshots from a
// leader.
func randomOperations(rng *rand.Rand, n int) []operation {
	m := State{MemberID: 7}
	list := []operation{{"member", func(s *DiskStore) error { return s.Save(Batch{MemberID: 7}) }, m}}
	for range n {
		var op operation
		switch last := m.Snapshot.Index + uint64(len(m.Entries)); {
		case rng.IntN(6) == 0 && len(m.Entries) > 0:
			k := rng.IntN(len(m.Entries)) + 1
			e := m.Entries[k-1]
			snap := replog.Snapshot{Index: e.Index, Term: e.Term, Config: testConfig, Data: []byte(fmt.Sprint("state", e.Index))}
			m.Snapshot, m.Entries = snap, append([]replog.Entry(nil), m.Entries[k:]...)
			op = operation{"snapshot", func(s *DiskStore) error { return s.SaveSnapshot(snap, false) }, m}
		case rng.IntN(8) == 0:
			snap := replog.Snapshot{Index: last + uint64(rng.IntN(3)) + 1, Term: m.HardState.Term + 1, Config: testConfig, Data: []byte("leader")}
			m.Snapshot, m.Entries = snap, nil
			op = operation{"install", func(s *DiskStore) error { return s.SaveSnapshot(snap, true) }, m}
		default:
			b := randomBatch(rng, &m, last)
			op = operation{"save", func(s *DiskStore) error { return s.Save(b) }, m}
		}
		list = append(list, op)
	}
	return list
}

var testConfig = replog.Config{Members: []replog.Member{{ID: 7, Name: "a", Voter: true}}}

// randomBatch returns a random batch, whose entries may replace the end of the log, and updates the
// expected state.
func randomBatch(rng *rand.Rand, m *State, last uint64) Batch {
	m.HardState.Term += uint64(rng.IntN(2))
	m.HardState.Vote = replog.MemberID(rng.IntN(3))
	hard := m.HardState
	b := Batch{HardState: &hard}
	if rng.IntN(3) == 0 {
		m.Released++
		b.Released = m.Released
	}
	first := last + 1
	if len(m.Entries) > 0 && rng.IntN(3) == 0 {
		first = m.Snapshot.Index + 1 + uint64(rng.IntN(len(m.Entries)))
	}
	for i := range rng.IntN(4) {
		e := replog.Entry{Index: first + uint64(i), Term: m.HardState.Term + 1, Kind: replog.KindData, Data: make([]byte, 1+rng.IntN(20))}
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

func openSimStore(fs FS) (*DiskStore, RecoveryResult, error) {
	salts := rand.New(rand.NewPCG(1, 1))
	return Open(Options{FS: fs, Dir: "j", SegmentBytes: 200, NewSalt: salts.Uint64})
}

// runOperations makes the calls up to the first error and returns the number of successful ones.
func runOperations(s *DiskStore, list []operation) int {
	for i, op := range list {
		if op.run(s) != nil {
			return i
		}
	}
	return len(list)
}

// runUntilCrash makes the calls on a file system that fails at the given step. It returns the file
// system and the number of successful calls.
func runUntilCrash(list []operation, step int, fail error, ignoreSyncs bool) (*simFS, int) {
	fs := newSimFS()
	fs.stepsLeft, fs.failure, fs.ignoreSyncs = step, fail, ignoreSyncs
	s, _, err := openSimStore(fs)
	if err != nil {
		return fs, 0
	}
	return fs, runOperations(s, list)
}

// checkRecovery interrupts a first recovery of the file system that a crash has left, then recovers
// it. The state must be that after the last successful call, or that after the interrupted one. It
// also checks that an entry saved after the recovery is durable.
func checkRecovery(fs *simFS, list []operation, acked, interrupt int) error {
	interrupted := fs.afterPowerLoss(namesKept, 1<<30, false)
	interrupted.stepsLeft = interrupt % 5 // a crash during recovery must not lose data
	_, _, _ = openSimStore(interrupted)
	fs = interrupted.afterPowerLoss(interrupt%3, 1<<30, false)
	s, result, err := openSimStore(fs)
	if err != nil {
		return err
	}
	got := result.State
	ok := acked == 0 && got.MemberID == 0
	for i := max(acked-1, 0); i <= min(acked, len(list)-1); i++ {
		ok = ok || sameState(got, list[i].want)
	}
	if !ok {
		return errors.Newf("recovered %+v after %d successful calls, want %+v", got, acked, list[max(acked-1, 0)].want)
	}
	e := replog.Entry{Index: got.Snapshot.Index + uint64(len(got.Entries)) + 1, Term: 99, Kind: replog.KindEmpty}
	if err := s.Save(Batch{Entries: []replog.Entry{e}}); err != nil {
		return err
	}
	_, result, err = openSimStore(fs.afterPowerLoss(namesKept, 0, false))
	if err == nil && len(result.State.Entries) != len(got.Entries)+1 {
		err = errors.New("an entry that was saved after recovery is missing")
	}
	return err
}

func sameState(a, b State) bool {
	if len(a.Entries) != len(b.Entries) || a.HardState != b.HardState || a.Released != b.Released || a.MemberID != b.MemberID {
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

// checkCrashes crashes at every stride-th step of the calls and checks the recovery from each state
// of the disk that a power loss may leave.
func checkCrashes(list []operation, stride int, ignoreSyncs bool) error {
	complete, _ := runUntilCrash(list, -1, errCrash, ignoreSyncs)
	for step := 0; step < complete.steps; step += stride {
		fs, acked := runUntilCrash(list, step, errCrash, ignoreSyncs)
		for _, names := range []int{namesLost, namesKept, namesMixed} {
			for _, keep := range []int{0, 9, 1 << 30} {
				for _, zero := range []bool{false, true} {
					if zero && keep != 9 {
						continue // if none or all unsynced bytes are kept, zeros add no further case
					}
					if err := checkRecovery(fs.afterPowerLoss(names, keep, zero), list, acked, step/stride+keep); err != nil {
						return errors.Wrapf(err, "crash at step %d of %d, names %d, keep %d, zero %v", step, complete.steps, names, keep, zero)
					}
				}
			}
		}
	}
	return nil
}

// Guards against acknowledged records that are lost or changed, and records that were never written,
// after a power loss at any byte or sync during saves, rotation, snapshots and recovery.
func TestCrashAtEveryByteAndSync(t *testing.T) {
	list := randomOperations(rand.New(rand.NewPCG(3, 3)), 10)
	if err := checkCrashes(list, 1, false); err != nil {
		t.Fatal(err)
	}
}

// Guards against the same failures in random sequences of calls.
func TestCrashInRandomScripts(t *testing.T) {
	p := gopter.DefaultTestParametersWithSeed(11)
	p.MinSuccessfulTests = 4 * *long
	props := gopter.NewProperties(p)
	props.Property("recovery is exact", prop.ForAll(func(seed uint64) string {
		rng := rand.New(rand.NewPCG(seed, 5))
		if err := checkCrashes(randomOperations(rng, 20), 17+rng.IntN(41), false); err != nil {
			return err.Error()
		}
		return ""
	}, gen.UInt64()))
	props.TestingRun(t)
}

// Guards against crash tests that do not detect missing syncs.
func TestMissingSyncIsDetected(t *testing.T) {
	if checkCrashes(randomOperations(rand.New(rand.NewPCG(3, 3)), 14), 7, true) == nil {
		t.Fatal("recovery passed although no sync reached the disk")
	}
}

// Guards against a store that accepts writes after a failed write on a full disk, and against a full
// disk that damages acknowledged data.
func TestFullDiskAtEveryStep(t *testing.T) {
	list := randomOperations(rand.New(rand.NewPCG(9, 4)), 14)
	complete, _ := runUntilCrash(list, -1, errDiskFull, false)
	for step := range complete.steps {
		fs, acked := runUntilCrash(list, step, errDiskFull, false)
		if err := checkRecovery(fs.afterPowerLoss(namesKept, 1<<30, false), list, acked, step); err != nil {
			t.Fatalf("disk full at step %d: %v", step, err)
		}
	}
	fs := newSimFS()
	s, _, err := openSimStore(fs)
	if err != nil {
		t.Fatal(err)
	}
	fs.stepsLeft, fs.failure = 3, errDiskFull
	if err := s.Save(Batch{MemberID: 1}); !errors.Is(err, errDiskFull) {
		t.Fatalf("save on a full disk: %v", err)
	}
	fs.failed, fs.stepsLeft = false, -1
	if err := s.Save(Batch{MemberID: 2}); !errors.Is(err, errDiskFull) {
		t.Fatalf("save after a failed save: %v", err)
	}
}

// Guards against damaged records that are mistaken for an interrupted write and silently dropped,
// and against damage that is reported without its position.
func TestEveryDamagedByteIsReported(t *testing.T) {
	var complete *simFS
	var before State
	var last string
	lastFrame, frames := 0, 0
	for n := 14; frames < 4; n++ { // until the last segment holds several frames
		list := randomOperations(rand.New(rand.NewPCG(3, 3)), n)
		complete, _ = runUntilCrash(list, -1, errCrash, false)
		s, _, err := openSimStore(complete.afterPowerLoss(namesKept, 0, false))
		if err != nil {
			t.Fatal(err)
		}
		before, last = list[len(list)-1].want, "j/"+segmentName(s.seq)
		lastFrame, frames = findLastFrame(complete.files[last].data, s.seq)
	}
	for name, f := range complete.files {
		for at := range f.data {
			fs := complete.afterPowerLoss(namesKept, 0, false)
			fs.files[name].data[at] ^= 0x20
			_, result, err := openSimStore(fs)
			var corrupt *CorruptError
			switch {
			case errors.As(err, &corrupt):
				// If the damaged last frame is removed, the error may name the snapshot that an
				// earlier frame refers to.
				inLast := name == last && at >= lastFrame
				if !inLast && (corrupt.File != name || corrupt.Offset > int64(at)) {
					t.Fatalf("damage at %s:%d reported as %v", name, at, corrupt)
				}
			case err != nil:
				t.Fatalf("damage at %s:%d: %v", name, at, err)
			case name != last || at < lastFrame || result.TornBytes == 0:
				t.Fatalf("damage at %s:%d was not detected", name, at)
			case sameState(result.State, before):
				t.Fatalf("damage at %s:%d removed nothing", name, at)
			}
		}
	}
}

// findLastFrame returns the offset of the last frame of a segment and the number of frames.
func findLastFrame(b []byte, seq uint64) (offset, n int) {
	salt, _ := parseSegmentHeader(b, seq)
	for next := segmentHeaderBytes; next < len(b); n++ {
		payload, _ := parseFrame(b, salt, next)
		offset = next
		next += frameHeaderBytes + len(payload)
	}
	return offset, n
}
