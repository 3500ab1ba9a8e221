package replica

import (
	"errors"
	"io"
	"maps"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"syscall"

	"github.com/gooseberrypick/gooseberrypick/internal/wal"
)

var errCrashed = errors.New("the VM crashed")

// memFS is a file system in memory that can lose power at any sync point and run
// out of space. Unsynced changes may partly survive a crash: a prefix of the
// changes of names, and each write completely, up to some byte, from some byte on,
// or not at all.
type memFS struct {
	rand    *rand.Rand
	names   map[string]*memFile
	durable map[string]*memFile
	changes []func(map[string]*memFile) // unsynced changes of names
	locked  bool
	// syncs counts the sync points. The VM crashes at sync point number crashAt.
	syncs, crashAt int
	crashed        bool
	// limit bounds the total size of all files. Space is allocated by writes, by
	// syncs (delayed allocation), or by each sync after any write (copy on write).
	limit      int
	allocation allocation
}

type allocation int

const (
	byWrite allocation = iota
	bySync
	copyOnWrite
	allocations
)

const noLimit = 1 << 60

func newMemFS(r *rand.Rand) *memFS {
	return &memFS{rand: r, names: map[string]*memFile{}, durable: map[string]*memFile{}, limit: noLimit}
}

type memFile struct {
	fs            *memFS
	data, durable []byte
	writes        []memWrite // unsynced
}

// memWrite is a write, or without data a change of the file size.
type memWrite struct {
	at   int64
	data []byte
}

func (w memWrite) apply(b []byte) []byte {
	if n := int(w.at) + len(w.data); len(b) < n {
		b = append(b, make([]byte, n-len(b))...)
	} else if w.data == nil {
		return b[:w.at]
	}
	copy(b[w.at:], w.data)
	return b
}

// syncPoint counts a sync point and reports whether the sync takes effect.
func (m *memFS) syncPoint() bool {
	if m.crashed {
		return false
	}
	if m.syncs++; m.syncs == m.crashAt {
		m.crashed = true
		return m.rand.IntN(2) == 0
	}
	return true
}

func (m *memFS) checkCrashed() error {
	if m.crashed {
		return errCrashed
	}
	return nil
}

// restart sets the state that remains after a crash.
func (m *memFS) restart() {
	m.crashed, m.crashAt, m.locked = false, 0, false
	for _, c := range m.changes[:m.rand.IntN(len(m.changes)+1)] {
		c(m.durable)
	}
	m.changes, m.names = nil, maps.Clone(m.durable)
	for _, n := range slices.Sorted(maps.Keys(m.names)) {
		m.names[n].crash(m.rand)
	}
}

func (f *memFile) crash(r *rand.Rand) {
	for _, w := range f.writes {
		k := r.IntN(len(w.data) + 1)
		switch r.IntN(4) {
		case 0:
			f.durable = w.apply(f.durable)
		case 1:
			if w.data != nil {
				f.durable = memWrite{w.at, w.data[:k]}.apply(f.durable)
			}
		case 2:
			if k < len(w.data) {
				f.durable = memWrite{w.at + int64(k), w.data[k:]}.apply(f.durable)
			}
		}
	}
	f.writes, f.data = nil, slices.Clone(f.durable)
}

func (m *memFS) used() int {
	n := 0
	for _, f := range m.names {
		n += len(f.data)
	}
	return n
}

func (m *memFS) change(f func(map[string]*memFile)) {
	f(m.names)
	m.changes = append(m.changes, f)
}

func (m *memFS) MkdirAll(string) error { return m.checkCrashed() }

func (m *memFS) List(string) ([]string, error) {
	var ns []string
	for _, n := range slices.Sorted(maps.Keys(m.names)) {
		ns = append(ns, filepath.Base(n))
	}
	return ns, m.checkCrashed()
}

func (m *memFS) Open(name string) (wal.File, error) {
	if m.crashed {
		return nil, errCrashed
	}
	if m.names[name] == nil {
		f := &memFile{fs: m}
		m.change(func(n map[string]*memFile) { n[name] = f })
	}
	return m.names[name], nil
}

func (m *memFS) Rename(from, to string) error {
	if m.crashed || m.names[from] == nil {
		return errCrashed
	}
	m.change(func(n map[string]*memFile) { n[to] = n[from]; delete(n, from) })
	return nil
}

func (m *memFS) Remove(name string) error {
	if !m.crashed {
		m.change(func(n map[string]*memFile) { delete(n, name) })
	}
	return m.checkCrashed()
}

func (m *memFS) SyncFolder(string) error {
	if m.syncPoint() {
		if m.allocation == copyOnWrite && m.used() > m.limit && len(m.changes) > 0 {
			return syscall.ENOSPC
		}
		m.changes, m.durable = nil, maps.Clone(m.names)
	}
	return m.checkCrashed()
}

func (m *memFS) Lock(string) (io.Closer, error) {
	if m.locked {
		return nil, errors.New("locked")
	}
	m.locked = true
	return memLock{m}, m.checkCrashed()
}

type memLock struct{ fs *memFS }

func (u memLock) Close() error { u.fs.locked = false; return nil }

func (f *memFile) ReadAt(b []byte, at int64) (int, error) {
	n := copy(b, f.data[min(int(at), len(f.data)):])
	if n < len(b) {
		return n, io.EOF
	}
	return n, f.fs.checkCrashed()
}

func (f *memFile) WriteAt(b []byte, at int64) (int, error) {
	if f.fs.crashed {
		return 0, errCrashed
	}
	n := len(b)
	if grow := int(at) + n - len(f.data); f.fs.allocation == byWrite && grow > 0 {
		n -= min(n, max(0, grow-max(0, f.fs.limit-f.fs.used())))
	}
	f.add(memWrite{at, slices.Clone(b[:n])})
	if n < len(b) {
		return n, syscall.ENOSPC
	}
	return n, nil
}

func (f *memFile) add(w memWrite) {
	f.data = w.apply(f.data)
	f.writes = append(f.writes, w)
}

func (f *memFile) Truncate(size int64) error {
	if !f.fs.crashed {
		f.add(memWrite{at: size})
	}
	return f.fs.checkCrashed()
}

// Sync fails on a full disk as some file systems do: part of the written data is
// durable, and a later Sync does not write the rest.
func (f *memFile) Sync() error {
	if f.fs.syncPoint() {
		written := slices.ContainsFunc(f.writes, func(w memWrite) bool { return w.data != nil })
		full := f.fs.used() > f.fs.limit && written &&
			(len(f.data) > len(f.durable) && f.fs.allocation == bySync || f.fs.allocation == copyOnWrite)
		for _, w := range f.writes {
			if !full || w.data == nil || f.fs.rand.IntN(2) == 0 {
				f.durable = w.apply(f.durable)
			}
		}
		f.writes = nil
		if full {
			return syscall.ENOSPC
		}
	}
	return f.fs.checkCrashed()
}

func (f *memFile) Size() (int64, error) { return int64(len(f.data)), f.fs.checkCrashed() }
func (f *memFile) Close() error         { return nil }
