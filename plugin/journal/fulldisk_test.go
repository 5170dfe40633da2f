package journal

import (
	"math/rand/v2"
	"syscall"
	"testing"

	"github.com/cockroachdb/errors"
)

// fullDiskFS is a file system whose writes and syncs fail once freeSteps bytes or syncs have passed.
// Files can still be truncated, renamed and removed, as on a full disk.
type fullDiskFS struct {
	*simFS
	freeSteps int
}

type fullDiskFile struct {
	File
	fs *fullDiskFS
}

func (f *fullDiskFS) Create(path string) (File, error) {
	if f.freeSteps == 0 {
		return nil, syscall.ENOSPC
	}
	file, err := f.simFS.Create(path)
	return &fullDiskFile{file, f}, err
}

func (f *fullDiskFS) OpenAppend(path string) (File, error) {
	file, err := f.simFS.OpenAppend(path)
	return &fullDiskFile{file, f}, err
}

// Write writes the part of p for which there is space.
func (f *fullDiskFile) Write(p []byte) (int, error) {
	n := min(len(p), f.fs.freeSteps)
	f.fs.freeSteps -= n
	n, err := f.File.Write(p[:n])
	if err == nil && n < len(p) {
		err = syscall.ENOSPC
	}
	return n, err
}

func (f *fullDiskFile) Sync() error {
	if f.fs.freeSteps == 0 {
		return syscall.ENOSPC
	}
	f.fs.freeSteps--
	return f.File.Sync()
}

const enoughSpace = 1 << 30

// Guards against a journal that stays unusable once its disk has been full, that writes a batch only
// in part, and that loses acknowledged data when the power fails on a full disk.
func TestWritesAreRepeatedAfterAFullDisk(t *testing.T) {
	failures := 0
	for seed := range uint64(20 * *longFactor) {
		rng := rand.New(rand.NewPCG(seed, 8))
		fs := &fullDiskFS{newSimFS(), enoughSpace}
		s, _, err := openSimStore(fs)
		if err != nil {
			t.Fatal(err)
		}
		operations := randomOperations(rng, 30)
		for i, op := range operations {
			for attempt := 0; ; attempt++ {
				fs.freeSteps = rng.IntN(120)
				if attempt == 3 {
					fs.freeSteps = enoughSpace
				}
				err := op.run(s)
				if err == nil {
					break
				}
				if !errors.Is(err, ErrNoSpace) || attempt == 3 {
					t.Fatalf("seed %d, %s: %v", seed, op.name, err)
				}
				failures++
				if err := checkRecovery(fs.afterPowerLoss(rng.IntN(3), rng.IntN(200), rng.IntN(2) == 0), operations, i, attempt); err != nil {
					t.Fatalf("seed %d, power loss after %s failed: %v", seed, op.name, err)
				}
			}
		}
		if err := checkRecovery(fs.afterPowerLoss(nameChangesLost, 0, false), operations, len(operations), 1); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
	}
	if failures < 100 {
		t.Fatalf("only %d writes failed", failures)
	}
}
