package wal

import (
	"encoding/binary"
	"path/filepath"

	"github.com/cespare/xxhash/v2"

	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

// A framed file is always written as a whole. It consists of a magic number (4
// bytes), a checksum (8) and the content.
const (
	framedMagic  = 0x47504631
	framedHeader = 12
	tempSuffix   = ".tmp"
)

// writeFramed atomically replaces the named file: after a crash it has either the
// old or the new content.
func (l *Log) writeFramed(name string, parts ...[]byte) error {
	temp := filepath.Join(l.folder, name+tempSuffix)
	f, err := l.fs.Open(temp)
	if err != nil {
		return wrapDiskError(err, "create %s", temp)
	}
	err = writeParts(f, parts)
	if err == nil {
		err = f.Sync()
	}
	if e := f.Close(); err == nil {
		err = e
	}
	if err == nil {
		err = l.fs.Rename(temp, filepath.Join(l.folder, name))
	}
	if err != nil {
		_ = l.fs.Remove(temp) // frees the space; Open removes a leftover
		return wrapDiskError(err, "write %s", filepath.Join(l.folder, name))
	}
	if err := l.fs.SyncFolder(l.folder); err != nil {
		return wrapDiskError(err, "sync folder %s", l.folder)
	}
	return nil
}

func writeParts(f File, parts [][]byte) error {
	if err := f.Truncate(0); err != nil {
		return err
	}
	d := xxhash.New()
	at := int64(framedHeader)
	for _, p := range parts {
		_, _ = d.Write(p) // never returns an error
		if _, err := f.WriteAt(p, at); err != nil {
			return err
		}
		at += int64(len(p))
	}
	var h [framedHeader]byte
	binary.LittleEndian.PutUint32(h[:], framedMagic)
	binary.LittleEndian.PutUint64(h[4:], d.Sum64())
	_, err := f.WriteAt(h[:], 0)
	return err
}

// readFramed returns the content of a framed file after verifying its checksum.
func (l *Log) readFramed(name string) ([]byte, error) {
	b, err := l.readFile(name)
	if err != nil {
		return nil, err
	}
	if len(b) < framedHeader || binary.LittleEndian.Uint32(b) != framedMagic ||
		binary.LittleEndian.Uint64(b[4:]) != xxhash.Sum64(b[framedHeader:]) {
		return nil, l.corruptError(name, 0, "checksum differs")
	}
	return b[framedHeader:], nil
}

func (l *Log) readFile(name string) ([]byte, error) {
	p := filepath.Join(l.folder, name)
	f, err := l.fs.Open(p)
	if err != nil {
		return nil, wrapDiskError(err, "open %s", p)
	}
	defer f.Close()
	return readAll(f, p)
}

func readAll(f File, path string) ([]byte, error) {
	n, err := f.Size()
	if err != nil {
		return nil, wrapDiskError(err, "size of %s", path)
	}
	b := make([]byte, n)
	if n == 0 {
		return b, nil
	}
	if m, err := f.ReadAt(b, 0); m < len(b) {
		return nil, wrapDiskError(err, "read %s", path)
	}
	return b, nil
}

// corruptError returns the error for damage that a crash cannot have caused.
func (l *Log) corruptError(name string, offset int64, reason string) error {
	return errkind.New(errkind.Corrupt,
		"%s: offset %d: %s; move the folder %s away and restart, so that this member rejoins as a learner",
		filepath.Join(l.folder, name), offset, reason, l.folder)
}
