package wal

import (
	"encoding/binary"
	"fmt"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/gooseberrypick/gooseberrypick/internal/wire"
)

const (
	snapshotSuffix = ".snapshot"
	// compactRotateDivisor sets the size from which on Compact rotates the active
	// segment: 1/compactRotateDivisor of a full segment. Rotating at every
	// compaction would create a file for a handful of entries.
	compactRotateDivisor = 16
)

// SnapshotMeta describes a snapshot.
type SnapshotMeta struct {
	// Index and Term are those of the last entry that the snapshot covers.
	Index      uint64              `cbor:"1,keyasint"`
	Term       uint64              `cbor:"2,keyasint"`
	Membership wire.RaftMembership `cbor:"3,keyasint"`
	// Size is the size of the data in bytes, Sum its xxhash.
	Size uint64 `cbor:"4,keyasint"`
	Sum  uint64 `cbor:"5,keyasint"`
}

func snapshotName(index uint64) string { return fmt.Sprintf("%016x%s", index, snapshotSuffix) }

// WriteSnapshot writes a snapshot durably and returns its complete metadata. It may
// run concurrently with methods that append to the log, but not with another
// WriteSnapshot of the same index. The snapshot takes effect when the result is
// passed to ActivateSnapshot.
func (l *Log) WriteSnapshot(m SnapshotMeta, data []byte) (SnapshotMeta, error) {
	m.Size, m.Sum = uint64(len(data)), xxhash.Sum64(data)
	b, err := wire.Marshal(&m)
	if err != nil {
		return m, err
	}
	h := binary.LittleEndian.AppendUint32(nil, uint32(len(b)))
	return m, l.writeFramed(snapshotName(m.Index), h, b, data)
}

// ActivateSnapshot makes a written snapshot the newest one and removes the previous
// one. It returns false if the current snapshot is at least as new, because one was
// saved in the meantime, and removes m if it is older.
func (l *Log) ActivateSnapshot(m SnapshotMeta) bool {
	old := l.state.Snapshot.Index
	newer := m.Index > old
	if newer {
		l.state.Snapshot, l.snapshotData = m, nil
	} else {
		old = m.Index
	}
	if old != 0 && old != l.state.Snapshot.Index {
		_ = l.fs.Remove(filepath.Join(l.folder, snapshotName(old))) // Open removes a leftover
	}
	return newer
}

// InstallSnapshot durably saves a snapshot that was received from the leader and
// drops the log that it replaces.
func (l *Log) InstallSnapshot(m SnapshotMeta, data []byte) error {
	if l.failed != nil {
		return l.failed
	}
	m, err := l.WriteSnapshot(m, data)
	if err != nil {
		return err
	}
	l.ActivateSnapshot(m)
	return l.Reset()
}

// SnapshotReader reads the data of one snapshot. It remains usable after a newer
// snapshot has replaced that one.
type SnapshotReader struct {
	// Index is the index of the last entry that the snapshot covers.
	Index uint64
	file  File
	start int64
}

// OpenSnapshot opens the newest snapshot. Its content was verified when it was
// written or loaded.
func (l *Log) OpenSnapshot() (*SnapshotReader, error) {
	m := l.state.Snapshot
	p := filepath.Join(l.folder, snapshotName(m.Index))
	f, err := l.fs.Open(p)
	if err != nil {
		return nil, wrapDiskError(err, "open %s", p)
	}
	n, err := f.Size()
	if err != nil {
		f.Close()
		return nil, wrapDiskError(err, "size of %s", p)
	}
	return &SnapshotReader{Index: m.Index, file: f, start: n - int64(m.Size)}, nil
}

// ReadAt implements io.ReaderAt for the data of the snapshot.
func (r *SnapshotReader) ReadAt(b []byte, offset int64) (int, error) {
	return r.file.ReadAt(b, r.start+offset)
}

// Close closes the snapshot file.
func (r *SnapshotReader) Close() error { return r.file.Close() }

// ReadSnapshot returns the data of the newest snapshot. The log keeps no reference
// to it.
func (l *Log) ReadSnapshot() ([]byte, error) {
	if d := l.snapshotData; d != nil {
		l.snapshotData = nil
		return d, nil
	}
	_, d, err := l.readSnapshot(snapshotName(l.state.Snapshot.Index))
	return d, err
}

// Compact drops the segments that the newest snapshot covers. It also rotates a
// large active segment, so that the next Compact can drop it. Until then every Open
// reads its entries.
func (l *Log) Compact() error {
	if l.failed != nil {
		return l.failed
	}
	n := 0
	for n < len(l.segments)-1 && l.segments[n].maxIndex <= l.state.Snapshot.Index {
		n++
	}
	if err := l.dropSegments(n); err != nil {
		return err
	}
	if l.end < l.segmentBytes/compactRotateDivisor {
		return nil
	}
	return l.rotate()
}

func (l *Log) readSnapshot(name string) (SnapshotMeta, []byte, error) {
	var m SnapshotMeta
	b, err := l.readFramed(name)
	if err != nil {
		return m, nil, err
	}
	if len(b) < 4 || uint64(len(b)-4) < uint64(binary.LittleEndian.Uint32(b)) {
		return m, nil, l.corruptError(name, framedHeader, "too short")
	}
	n := 4 + int(binary.LittleEndian.Uint32(b))
	if err := wire.Unmarshal(b[4:n], &m); err != nil {
		return m, nil, l.corruptError(name, framedHeader, err.Error())
	}
	return m, b[n:], nil
}

// loadSnapshot loads the newest snapshot and removes older ones, which can remain
// after a crash while a snapshot was written or activated.
func (l *Log) loadSnapshot(names []string) error {
	var newest string
	for _, n := range names {
		stem, ok := strings.CutSuffix(n, snapshotSuffix)
		if !ok {
			continue
		}
		if _, err := strconv.ParseUint(stem, 16, 64); err != nil {
			return l.corruptError(n, 0, "invalid snapshot file name")
		}
		if newest != "" {
			_ = l.fs.Remove(filepath.Join(l.folder, newest)) // retried at the next Open
		}
		newest = n // names are sorted
	}
	if newest == "" {
		return nil
	}
	var err error
	l.state.Snapshot, l.snapshotData, err = l.readSnapshot(newest)
	return err
}
