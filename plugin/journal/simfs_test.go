package journal

import (
	"os"
	"path"
	"sort"

	"github.com/cockroachdb/errors"
)

var (
	errCrash = errors.New("simulated crash")
	errSpace = errors.New("simulated full disk")
)

// simFS is a file system in memory that knows what a power loss would leave.
type simFS struct {
	names   map[string]*simFile // as the process sees them
	durable map[string]*simFile // as of the last sync of the folder
	// left counts the steps until the failure: each byte of a write and every
	// other operation that changes the disk is one step. Negative never fails.
	left int
	fail error
	dead bool
	// forget makes syncs lie, to show that the tests notice it.
	forget bool
	steps  int
}

type simFile struct {
	data   []byte
	synced []byte
}

func newSimFS() *simFS {
	return &simFS{names: map[string]*simFile{}, durable: map[string]*simFile{}, left: -1, fail: errCrash}
}

// step takes one step and fails when the time has come.
func (s *simFS) step() error {
	s.steps++
	if s.dead {
		return s.fail
	}
	if s.left == 0 {
		s.dead = true
		return s.fail
	}
	if s.left > 0 {
		s.left--
	}
	return nil
}

// What a power loss does to names that were changed since the last sync of the folder.
const (
	namesLost = iota
	namesKept
	// namesMixed keeps the changes except for one removal: removals may reach the
	// disk in any order.
	namesMixed
)

// after returns the file system after a power loss: keep of the unsynced bytes of
// each file (at most all) are kept, the rest is cut off or, with zero, reads as
// zeros.
func (s *simFS) after(names, keep int, zero bool) *simFS {
	out := newSimFS()
	for n, f := range s.survivors(names) {
		data := append([]byte(nil), f.synced...)
		if len(f.data) > len(data) {
			tail := f.data[len(data):]
			kept := min(keep, len(tail))
			data = append(data, tail[:kept]...)
			if zero {
				data = append(data, make([]byte, len(tail)-kept)...)
			}
		}
		file := &simFile{data: data, synced: append([]byte(nil), data...)}
		out.names[n], out.durable[n] = file, file
	}
	return out
}

func (s *simFS) survivors(names int) map[string]*simFile {
	if names == namesLost {
		return s.durable
	}
	all := map[string]*simFile{}
	for n, f := range s.names {
		all[n] = f
	}
	if names == namesMixed {
		var removed []string
		for n := range s.durable {
			if all[n] == nil {
				removed = append(removed, n)
			}
		}
		sort.Strings(removed)
		if len(removed) > 0 {
			all[removed[0]] = s.durable[removed[0]]
		}
	}
	return all
}

func (s *simFS) MkdirAll(string) error { return nil }

func (s *simFS) Names(string) ([]string, error) {
	var list []string
	for n := range s.names {
		list = append(list, path.Base(n))
	}
	sort.Strings(list)
	return list, nil
}

func (s *simFS) ReadFile(p string) ([]byte, error) {
	f, ok := s.names[p]
	if !ok {
		return nil, os.ErrNotExist
	}
	return append([]byte(nil), f.data...), nil
}

func (s *simFS) Create(p string) (File, error) {
	if err := s.step(); err != nil {
		return nil, err
	}
	s.names[p] = &simFile{}
	return &simHandle{s, s.names[p]}, nil
}

func (s *simFS) Append(p string) (File, error) {
	f, ok := s.names[p]
	if !ok {
		return nil, os.ErrNotExist
	}
	return &simHandle{s, f}, nil
}

func (s *simFS) Rename(from, to string) error {
	if err := s.step(); err != nil {
		return err
	}
	s.names[to] = s.names[from]
	delete(s.names, from)
	return nil
}

func (s *simFS) Remove(p string) error {
	if err := s.step(); err != nil {
		return err
	}
	delete(s.names, p)
	return nil
}

func (s *simFS) SyncDir(string) error {
	if err := s.step(); err != nil {
		return err
	}
	if s.forget {
		return nil
	}
	s.durable = map[string]*simFile{}
	for n, f := range s.names {
		s.durable[n] = f
	}
	return nil
}

func (s *simFS) Lock(string) (func(), error) { return func() {}, nil }

type simHandle struct {
	fs *simFS
	f  *simFile
}

func (h *simHandle) Write(p []byte) (int, error) {
	for i := range p {
		if err := h.fs.step(); err != nil {
			return i, err
		}
		h.f.data = append(h.f.data, p[i])
	}
	return len(p), nil
}

func (h *simHandle) Sync() error {
	if err := h.fs.step(); err != nil {
		return err
	}
	if !h.fs.forget {
		h.f.synced = append([]byte(nil), h.f.data...)
	}
	return nil
}

func (h *simHandle) Truncate(size int64) error {
	if err := h.fs.step(); err != nil {
		return err
	}
	h.f.data = h.f.data[:size]
	h.f.synced = h.f.synced[:min(len(h.f.synced), int(size))]
	return nil
}

func (h *simHandle) Close() error { return nil }
