package wal

import (
	"encoding/binary"
	"fmt"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/gooseberrypick/gooseberrypick/internal/wire"
)

const snapshotSuffix = ".snapshot"

// SnapshotMeta says what a snapshot covers.
type SnapshotMeta struct {
	// Index and Term are those of the last entry covered.
	Index      uint64              `cbor:"1,keyasint"`
	Term       uint64              `cbor:"2,keyasint"`
	Membership wire.RaftMembership `cbor:"3,keyasint"`
	// Size is the number of bytes of the data.
	Size uint64 `cbor:"4,keyasint"`
}

func snapshotName(index uint64) string { return fmt.Sprintf("%016x%s", index, snapshotSuffix) }

// SaveSnapshot saves a snapshot durably and removes older ones.
func (l *Log) SaveSnapshot(m SnapshotMeta, data []byte) error {
	if l.failed != nil {
		return l.failed
	}
	m.Size = uint64(len(data))
	b, err := wire.Marshal(&m)
	if err != nil {
		return err
	}
	h := binary.LittleEndian.AppendUint32(nil, uint32(len(b)))
	if err := l.writeFramed(snapshotName(m.Index), h, b, data); err != nil {
		return err
	}
	old := l.state.Snapshot.Index
	l.state.Snapshot = m
	l.last = max(l.last, m.Index)
	if old != 0 && old != m.Index {
		_ = l.fs.Remove(filepath.Join(l.folder, snapshotName(old))) // a leftover is removed at Open
	}
	return nil
}

// ReadSnapshot returns the data of the newest snapshot.
func (l *Log) ReadSnapshot() ([]byte, error) {
	_, d, err := l.readSnapshot(snapshotName(l.state.Snapshot.Index))
	return d, err
}

// Compact drops the segments that the newest snapshot covers.
func (l *Log) Compact() error {
	if l.failed != nil {
		return l.failed
	}
	n := 0
	for n < len(l.segments)-1 && l.segments[n].highest <= l.state.Snapshot.Index {
		n++
	}
	return l.dropSegments(n)
}

func (l *Log) readSnapshot(name string) (SnapshotMeta, []byte, error) {
	var m SnapshotMeta
	b, err := l.readFramed(name)
	if err != nil {
		return m, nil, err
	}
	if len(b) < 4 || uint64(len(b)-4) < uint64(binary.LittleEndian.Uint32(b)) {
		return m, nil, l.corrupt(name, framedHeader, "too short")
	}
	n := 4 + int(binary.LittleEndian.Uint32(b))
	if err := wire.Unmarshal(b[4:n], &m); err != nil {
		return m, nil, l.corrupt(name, framedHeader, err.Error())
	}
	return m, b[n:], nil
}

// loadSnapshot finds the newest snapshot and removes older ones, which a crash
// during SaveSnapshot can leave.
func (l *Log) loadSnapshot(names []string) error {
	var newest string
	for _, n := range names {
		stem, ok := strings.CutSuffix(n, snapshotSuffix)
		if !ok {
			continue
		}
		if _, err := strconv.ParseUint(stem, 16, 64); err != nil {
			return l.corrupt(n, 0, "the name is not that of a snapshot")
		}
		if newest != "" {
			_ = l.fs.Remove(filepath.Join(l.folder, newest)) // removed again at the next Open
		}
		newest = n // names are sorted
	}
	if newest == "" {
		return nil
	}
	m, _, err := l.readSnapshot(newest)
	l.state.Snapshot = m
	return err
}
