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

var longFactor = flag.Int("long", 1, "factor by which property tests run longer")

// operation is one call on the store.
type operation struct {
	name string
	run  func(*DiskStore) error
	want State // expected state after this and all earlier operations
}

// randomOperations returns a call that saves the member ID and n random calls as a member makes them.
// These append entries, replace entries at the end of the log, and save votes, released versions,
// the member's own snapshots and snapshots from a leader.
func randomOperations(rng *rand.Rand, n int) []operation {
	expected := State{MemberID: 7}
	operations := []operation{{"member", func(s *DiskStore) error { return s.Save(Batch{MemberID: 7}) }, expected}}
	for range n {
		var op operation
		switch last := expected.Snapshot.Index + uint64(len(expected.Entries)); {
		case rng.IntN(6) == 0 && len(expected.Entries) > 0:
			k := rng.IntN(len(expected.Entries)) + 1
			e := expected.Entries[k-1]
			snap := replog.Snapshot{Index: e.Index, Term: e.Term, Config: testConfig, Data: []byte(fmt.Sprint("state", e.Index))}
			expected.Snapshot, expected.Entries = snap, append([]replog.Entry(nil), expected.Entries[k:]...)
			op = operation{"snapshot", func(s *DiskStore) error { return s.SaveSnapshot(snap, false) }, expected}
		case rng.IntN(8) == 0:
			snap := replog.Snapshot{Index: last + uint64(rng.IntN(3)) + 1, Term: expected.HardState.Term + 1, Config: testConfig, Data: []byte("leader")}
			expected.Snapshot, expected.Entries = snap, nil
			op = operation{"install", func(s *DiskStore) error { return s.SaveSnapshot(snap, true) }, expected}
		default:
			b := randomBatch(rng, &expected, last)
			op = operation{"save", func(s *DiskStore) error { return s.Save(b) }, expected}
		}
		operations = append(operations, op)
	}
	return operations
}

var testConfig = replog.Config{Members: []replog.Member{{ID: 7, Name: "a", Voter: true}}}

// randomBatch returns a random batch, whose entries may replace the end of the log, and updates
// expected to the state after its save.
func randomBatch(rng *rand.Rand, expected *State, last uint64) Batch {
	expected.HardState.Term += uint64(rng.IntN(2))
	expected.HardState.Vote = replog.MemberID(rng.IntN(3))
	hardState := expected.HardState
	b := Batch{HardState: &hardState}
	if rng.IntN(3) == 0 {
		expected.ReleasedVersion++
		b.ReleasedVersion = expected.ReleasedVersion
	}
	first := last + 1
	if len(expected.Entries) > 0 && rng.IntN(3) == 0 {
		first = expected.Snapshot.Index + 1 + uint64(rng.IntN(len(expected.Entries)))
	}
	for i := range rng.IntN(4) {
		e := replog.Entry{Index: first + uint64(i), Term: expected.HardState.Term + 1, Kind: replog.KindData, Data: make([]byte, 1+rng.IntN(20))}
		if rng.IntN(10) == 0 {
			config := testConfig
			e.Kind, e.Data, e.Config = replog.KindConfig, nil, &config
		}
		b.Entries = append(b.Entries, e)
	}
	if len(b.Entries) > 0 {
		kept := expected.Entries[:first-expected.Snapshot.Index-1]
		expected.Entries = append(append([]replog.Entry(nil), kept...), b.Entries...)
	}
	return b
}

func openSimStore(fs FS) (*DiskStore, RecoveryResult, error) {
	salts := rand.New(rand.NewPCG(1, 1))
	return Open(Options{FS: fs, Dir: "j", SegmentBytes: 200, NewSalt: salts.Uint64})
}

// runOperations makes the calls up to the first one that fails and returns the number of successful
// calls.
func runOperations(s *DiskStore, operations []operation) int {
	for i, op := range operations {
		if op.run(s) != nil {
			return i
		}
	}
	return len(operations)
}

// runUntilCrash makes the calls on a file system that fails with the given error at the given step,
// or not at all if step is negative. It returns the file system and the number of successful calls.
func runUntilCrash(operations []operation, step int, failure error, ignoreSyncs bool) (*simFS, int) {
	fs := newSimFS()
	fs.stepsLeft, fs.failure, fs.ignoreSyncs = step, failure, ignoreSyncs
	s, _, err := openSimStore(fs)
	if err != nil {
		return fs, 0
	}
	return fs, runOperations(s, operations)
}

// checkRecovery checks the recovery of the file system that a crash has left, after an earlier
// recovery was interrupted too. The recovered state must be that after the last successful call, or
// that after the interrupted call. An entry saved after the recovery must be durable. variant selects
// the step at which the first recovery is interrupted and the effect of that on file names.
func checkRecovery(fs *simFS, operations []operation, succeeded, variant int) error {
	interrupted := fs.afterPowerLoss(nameChangesKept, 1<<30, false)
	interrupted.stepsLeft = variant % 5 // a crash during recovery must not lose data
	_, _, _ = openSimStore(interrupted)
	fs = interrupted.afterPowerLoss(variant%3, 1<<30, false)
	s, result, err := openSimStore(fs)
	if err != nil {
		return err
	}
	got := result.State
	ok := succeeded == 0 && got.MemberID == 0
	for i := max(succeeded-1, 0); i <= min(succeeded, len(operations)-1); i++ {
		ok = ok || sameState(got, operations[i].want)
	}
	if !ok {
		return errors.Newf("recovered %+v after %d successful calls, want %+v", got, succeeded, operations[max(succeeded-1, 0)].want)
	}
	e := replog.Entry{Index: got.Snapshot.Index + uint64(len(got.Entries)) + 1, Term: 99, Kind: replog.KindEmpty}
	if err := s.Save(Batch{Entries: []replog.Entry{e}}); err != nil {
		return err
	}
	_, result, err = openSimStore(fs.afterPowerLoss(nameChangesKept, 0, false))
	if err == nil && len(result.State.Entries) != len(got.Entries)+1 {
		err = errors.New("an entry that was saved after recovery is missing")
	}
	return err
}

func sameState(a, b State) bool {
	if len(a.Entries) != len(b.Entries) || a.HardState != b.HardState || a.ReleasedVersion != b.ReleasedVersion || a.MemberID != b.MemberID {
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

// checkCrashes simulates a crash at every stride-th step of the calls. For each crash it checks the
// recovery from several states in which a power loss may leave the disk.
func checkCrashes(operations []operation, stride int, ignoreSyncs bool) error {
	complete, _ := runUntilCrash(operations, -1, errCrash, ignoreSyncs)
	for step := 0; step < complete.steps; step += stride {
		fs, succeeded := runUntilCrash(operations, step, errCrash, ignoreSyncs)
		for _, nameChanges := range []int{nameChangesLost, nameChangesKept, nameChangesMixed} {
			for _, keptBytes := range []int{0, 9, 1 << 30} {
				for _, zeroFill := range []bool{false, true} {
					if zeroFill && keptBytes != 9 {
						continue // zero filling is tried only where a part of the unsynced bytes is kept
					}
					if err := checkRecovery(fs.afterPowerLoss(nameChanges, keptBytes, zeroFill), operations, succeeded, step/stride+keptBytes); err != nil {
						return errors.Wrapf(err, "crash at step %d of %d, name changes %d, kept bytes %d, zero fill %v", step, complete.steps, nameChanges, keptBytes, zeroFill)
					}
				}
			}
		}
	}
	return nil
}

// Guards against recovering records that were never written, and against acknowledged records that
// are lost or changed, after a power loss at any byte or sync during saves, rotation, snapshots and
// recovery.
func TestCrashAtEveryByteAndSync(t *testing.T) {
	operations := randomOperations(rand.New(rand.NewPCG(3, 3)), 10)
	if err := checkCrashes(operations, 1, false); err != nil {
		t.Fatal(err)
	}
}

// Guards against the same failures as TestCrashAtEveryByteAndSync, in random sequences of calls.
func TestCrashInRandomCallSequences(t *testing.T) {
	p := gopter.DefaultTestParametersWithSeed(11)
	p.MinSuccessfulTests = 4 * *longFactor
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

// Guards against a store that accepts writes after a write has failed because the disk is full, and
// against loss of acknowledged data on a full disk.
func TestFullDiskAtEveryStep(t *testing.T) {
	operations := randomOperations(rand.New(rand.NewPCG(9, 4)), 14)
	complete, _ := runUntilCrash(operations, -1, errDiskFull, false)
	for step := range complete.steps {
		fs, succeeded := runUntilCrash(operations, step, errDiskFull, false)
		if err := checkRecovery(fs.afterPowerLoss(nameChangesKept, 1<<30, false), operations, succeeded, step); err != nil {
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
		operations := randomOperations(rand.New(rand.NewPCG(3, 3)), n)
		complete, _ = runUntilCrash(operations, -1, errCrash, false)
		s, _, err := openSimStore(complete.afterPowerLoss(nameChangesKept, 0, false))
		if err != nil {
			t.Fatal(err)
		}
		before, last = operations[len(operations)-1].want, "j/"+segmentName(s.seq)
		lastFrame, frames = findLastFrame(complete.files[last].data, s.seq)
	}
	for name, f := range complete.files {
		for offset := range f.data {
			fs := complete.afterPowerLoss(nameChangesKept, 0, false)
			fs.files[name].data[offset] ^= 0x20
			_, result, err := openSimStore(fs)
			var corrupt *CorruptError
			switch {
			case errors.As(err, &corrupt):
				// If the damaged last frame is removed, the error may name the snapshot that an
				// earlier frame refers to.
				isInLastFrame := name == last && offset >= lastFrame
				if !isInLastFrame && (corrupt.File != name || corrupt.Offset > int64(offset)) {
					t.Fatalf("damage at %s:%d reported as %v", name, offset, corrupt)
				}
			case err != nil:
				t.Fatalf("damage at %s:%d: %v", name, offset, err)
			case name != last || offset < lastFrame || result.TornBytes == 0:
				t.Fatalf("damage at %s:%d was not detected", name, offset)
			case sameState(result.State, before):
				t.Fatalf("damage at %s:%d removed nothing", name, offset)
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
