package journal

import (
	"os"
	"path"
	"sort"

	"github.com/cockroachdb/errors"
)

var (
	errCrash    = errors.New("simulated crash")
	errDiskFull = errors.New("simulated full disk")
)

// simFS is a file system in memory that simulates failed operations and power losses.
type simFS struct {
	files        map[string]*simFile // files as the process sees them
	durableFiles map[string]*simFile // files at the last sync of the folder
	// stepsLeft is the number of steps until the failure: each byte of a write and every other
	// operation that changes the disk is one step. A negative value means that nothing fails.
	stepsLeft int
	failure   error // returned by the step that fails and by all later ones
	failed    bool
	// ignoreSyncs makes syncs succeed without effect, to prove that the tests detect missing syncs.
	ignoreSyncs bool
	steps       int // number of steps so far
}

type simFile struct {
	data   []byte // content as the process sees it
	synced []byte // content at the last sync
}

func newSimFS() *simFS {
	return &simFS{files: map[string]*simFile{}, durableFiles: map[string]*simFile{}, stepsLeft: -1, failure: errCrash}
}

// step counts one step. It returns an error at the step that is to fail and at all later steps.
func (s *simFS) step() error {
	s.steps++
	if s.failed {
		return s.failure
	}
	if s.stepsLeft == 0 {
		s.failed = true
		return s.failure
	}
	if s.stepsLeft > 0 {
		s.stepsLeft--
	}
	return nil
}

// Effects of a power loss on the files created, renamed or removed since the last sync of the folder.
const (
	nameChangesLost = iota
	nameChangesKept
	// nameChangesMixed keeps the changes except for one removal, because removals may reach the disk
	// in any order.
	nameChangesMixed
)

// afterPowerLoss returns the file system after a power loss. nameChanges is the effect on created,
// renamed and removed files. At most maxKeptBytes unsynced bytes of each file are kept. The others
// are cut off or, if zeroFill is set, replaced with zeros.
func (s *simFS) afterPowerLoss(nameChanges, maxKeptBytes int, zeroFill bool) *simFS {
	out := newSimFS()
	for n, f := range s.survivingFiles(nameChanges) {
		data := append([]byte(nil), f.synced...)
		if len(f.data) > len(data) {
			tail := f.data[len(data):]
			kept := min(maxKeptBytes, len(tail))
			data = append(data, tail[:kept]...)
			if zeroFill {
				data = append(data, make([]byte, len(tail)-kept)...)
			}
		}
		file := &simFile{data: data, synced: append([]byte(nil), data...)}
		out.files[n], out.durableFiles[n] = file, file
	}
	return out
}

// survivingFiles returns the files that exist after a power loss with the given effect on names.
func (s *simFS) survivingFiles(nameChanges int) map[string]*simFile {
	if nameChanges == nameChangesLost {
		return s.durableFiles
	}
	all := map[string]*simFile{}
	for n, f := range s.files {
		all[n] = f
	}
	if nameChanges == nameChangesMixed {
		var removed []string
		for n := range s.durableFiles {
			if all[n] == nil {
				removed = append(removed, n)
			}
		}
		sort.Strings(removed)
		if len(removed) > 0 {
			all[removed[0]] = s.durableFiles[removed[0]]
		}
	}
	return all
}

func (s *simFS) MkdirAll(string) error { return nil }

func (s *simFS) ListNames(string) ([]string, error) {
	var names []string
	for n := range s.files {
		names = append(names, path.Base(n))
	}
	sort.Strings(names)
	return names, nil
}

func (s *simFS) ReadFile(p string) ([]byte, error) {
	f, ok := s.files[p]
	if !ok {
		return nil, os.ErrNotExist
	}
	return append([]byte(nil), f.data...), nil
}

func (s *simFS) Create(p string) (File, error) {
	if err := s.step(); err != nil {
		return nil, err
	}
	s.files[p] = &simFile{}
	return &simHandle{s, s.files[p]}, nil
}

func (s *simFS) OpenAppend(p string) (File, error) {
	f, ok := s.files[p]
	if !ok {
		return nil, os.ErrNotExist
	}
	return &simHandle{s, f}, nil
}

func (s *simFS) Rename(from, to string) error {
	if err := s.step(); err != nil {
		return err
	}
	s.files[to] = s.files[from]
	delete(s.files, from)
	return nil
}

func (s *simFS) Remove(p string) error {
	if err := s.step(); err != nil {
		return err
	}
	delete(s.files, p)
	return nil
}

func (s *simFS) SyncDir(string) error {
	if err := s.step(); err != nil {
		return err
	}
	if s.ignoreSyncs {
		return nil
	}
	s.durableFiles = map[string]*simFile{}
	for n, f := range s.files {
		s.durableFiles[n] = f
	}
	return nil
}

func (s *simFS) Lock(string) (func(), error) { return func() {}, nil }

type simHandle struct {
	fs   *simFS
	file *simFile
}

func (h *simHandle) Write(p []byte) (int, error) {
	for i := range p {
		if err := h.fs.step(); err != nil {
			return i, err
		}
		h.file.data = append(h.file.data, p[i])
	}
	return len(p), nil
}

func (h *simHandle) Sync() error {
	if err := h.fs.step(); err != nil {
		return err
	}
	if !h.fs.ignoreSyncs {
		h.file.synced = append([]byte(nil), h.file.data...)
	}
	return nil
}

func (h *simHandle) Truncate(size int64) error {
	if err := h.fs.step(); err != nil {
		return err
	}
	h.file.data = h.file.data[:size]
	h.file.synced = h.file.synced[:min(len(h.file.synced), int(size))]
	return nil
}

func (h *simHandle) Close() error { return nil }
