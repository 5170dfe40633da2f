package journal

import (
	"os"
	"path/filepath"
	"syscall"

	"github.com/cockroachdb/errors"
)

// File is a file open for appending.
type File interface {
	Write(p []byte) (int, error)
	// Sync returns once everything written is on the disk.
	Sync() error
	Truncate(size int64) error
	Close() error
}

// FS is what the journal needs of a file system. Tests replace it to fail at
// every write and sync.
type FS interface {
	MkdirAll(dir string) error
	// Names lists the files of a folder in order.
	Names(dir string) ([]string, error)
	ReadFile(path string) ([]byte, error)
	// Create opens a new or emptied file.
	Create(path string) (File, error)
	// Append opens an existing file.
	Append(path string) (File, error)
	Rename(from, to string) error
	Remove(path string) error
	// SyncDir returns once the names in the folder are on the disk.
	SyncDir(dir string) error
	// Lock keeps other processes out until the returned function is called.
	Lock(path string) (unlock func(), err error)
}

// osFS is the file system of the machine.
type osFS struct{}

func (osFS) MkdirAll(dir string) error {
	if err := os.MkdirAll(dir, 0o750); err != nil {
		return err
	}
	return osFS{}.SyncDir(filepath.Dir(dir))
}

func (osFS) Names(dir string) ([]string, error) {
	list, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	var names []string
	for _, e := range list {
		names = append(names, e.Name())
	}
	return names, nil
}

func (osFS) ReadFile(path string) ([]byte, error) { return os.ReadFile(path) }

func (osFS) Create(path string) (File, error) {
	return os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY|os.O_APPEND, 0o640)
}

func (osFS) Append(path string) (File, error) {
	return os.OpenFile(path, os.O_WRONLY|os.O_APPEND, 0o640)
}

func (osFS) Rename(from, to string) error { return os.Rename(from, to) }

func (osFS) Remove(path string) error { return os.Remove(path) }

func (osFS) SyncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	err = d.Sync()
	return errors.CombineErrors(err, d.Close())
}

func (osFS) Lock(path string) (func(), error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, 0o640)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = f.Close()
		return nil, errors.Wrapf(err, "%s is locked by another process", path)
	}
	return func() { _ = f.Close() }, nil
}
