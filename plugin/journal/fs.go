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
	// Sync returns once all written data is on disk.
	Sync() error
	Truncate(size int64) error
	Close() error
}

// FS contains the file system operations that the journal uses. Tests replace them to make any write
// or sync fail.
type FS interface {
	MkdirAll(dir string) error
	// ListNames returns the names of the files in a folder in lexical order.
	ListNames(dir string) ([]string, error)
	ReadFile(path string) ([]byte, error)
	// Create creates or truncates a file and opens it for appending.
	Create(path string) (File, error)
	// OpenAppend opens an existing file for appending.
	OpenAppend(path string) (File, error)
	Rename(from, to string) error
	Remove(path string) error
	// SyncDir returns once the directory entries of the folder are on disk.
	SyncDir(dir string) error
	// Lock locks the file against other processes until the returned function is called.
	Lock(path string) (unlock func(), err error)
}

// osFS is the file system of the operating system.
type osFS struct{}

func (osFS) MkdirAll(dir string) error {
	if err := os.MkdirAll(dir, 0o750); err != nil {
		return err
	}
	return osFS{}.SyncDir(filepath.Dir(dir))
}

func (osFS) ListNames(dir string) ([]string, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	var names []string
	for _, e := range entries {
		names = append(names, e.Name())
	}
	return names, nil
}

func (osFS) ReadFile(path string) ([]byte, error) { return os.ReadFile(path) }

func (osFS) Create(path string) (File, error) {
	return os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY|os.O_APPEND, 0o640)
}

func (osFS) OpenAppend(path string) (File, error) {
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
