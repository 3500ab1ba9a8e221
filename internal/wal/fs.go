package wal

import (
	"io"
	"os"
	"path/filepath"
	"syscall"

	"github.com/pkg/errors"
)

// File is an open file of an FS.
type File interface {
	io.ReaderAt
	io.WriterAt
	io.Closer
	// Truncate changes the size of the file.
	Truncate(size int64) error
	// Sync makes the content durable.
	Sync() error
	// Size returns the size of the file.
	Size() (int64, error)
}

// FS is the file system interface that a Log uses. Tests replace it to inject
// failed syncs, full disks and crashes.
type FS interface {
	// MkdirAll creates a folder and its parents.
	MkdirAll(folder string) error
	// List returns the names of the files in a folder, sorted.
	List(folder string) ([]string, error)
	// Open opens a file for reading and writing and creates it if it is missing.
	Open(name string) (File, error)
	// Rename renames the file from to to, replacing an existing file.
	Rename(from, to string) error
	// Remove deletes a file.
	Remove(name string) error
	// SyncFolder makes the creation, renaming and removal of files in a folder
	// durable.
	SyncFolder(folder string) error
	// Lock takes an exclusive lock, which is released by Close or when the process
	// ends.
	Lock(name string) (io.Closer, error)
}

// OS is the FS of the operating system.
type OS struct{}

type osFile struct{ *os.File }

// Size implements File.
func (f osFile) Size() (int64, error) {
	i, err := f.Stat()
	if err != nil {
		return 0, err
	}
	return i.Size(), nil
}

// MkdirAll implements FS. Each new folder is made durable in its parent.
func (o OS) MkdirAll(folder string) error {
	if _, err := os.Stat(folder); err == nil {
		return nil
	}
	parent := filepath.Dir(folder)
	if parent != folder {
		if err := o.MkdirAll(parent); err != nil {
			return err
		}
	}
	if err := os.Mkdir(folder, 0o700); err != nil && !errors.Is(err, os.ErrExist) {
		return err
	}
	return o.SyncFolder(parent)
}

// List implements FS.
func (OS) List(folder string) ([]string, error) {
	es, err := os.ReadDir(folder)
	if err != nil {
		return nil, err
	}
	names := make([]string, 0, len(es))
	for _, e := range es {
		if !e.IsDir() {
			names = append(names, e.Name())
		}
	}
	return names, nil
}

// Open implements FS.
func (OS) Open(name string) (File, error) {
	f, err := os.OpenFile(name, os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, err
	}
	return osFile{f}, nil
}

// Rename implements FS.
func (OS) Rename(from, to string) error { return os.Rename(from, to) }

// Remove implements FS.
func (OS) Remove(name string) error { return os.Remove(name) }

// SyncFolder implements FS.
func (OS) SyncFolder(folder string) error {
	d, err := os.Open(folder)
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}

// Lock implements FS.
func (OS) Lock(name string) (io.Closer, error) {
	f, err := os.OpenFile(name, os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		f.Close()
		return nil, errors.Wrapf(err, "lock %s: another process uses the folder", name)
	}
	return f, nil
}
