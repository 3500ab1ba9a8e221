package wal

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/gooseberrypick/gooseberrypick/internal/wire"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

// recordSize is that of the records that write makes.
const recordSize = recordHeader + entryHeader + 10

func open(t *testing.T, folder string) (*Log, State) {
	t.Helper()
	l, err := Open(Options{Folder: folder, Identity: Identity{Name: "a"}, SegmentBytes: 5 * recordSize})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	s := l.State()
	if s.Identity.Lineage == "" {
		s.Identity.Lineage = "lineage"
		if err := l.SaveIdentity(s.Identity); err != nil {
			t.Fatal(err)
		}
	}
	return l, s
}

func write(t *testing.T, l *Log, sync bool, term uint64, indexes ...uint64) {
	t.Helper()
	var es []wire.RaftEntry
	for _, i := range indexes {
		es = append(es, wire.RaftEntry{Index: i, Term: term, Kind: wire.EntryCommand, Data: make([]byte, 10)})
	}
	err := l.Append(es)
	if err == nil && sync {
		err = l.Sync()
	}
	if err != nil {
		t.Fatal(err)
	}
}

// edit changes a file.
func edit(t *testing.T, folder, name string, f func(b []byte) []byte) {
	t.Helper()
	p := filepath.Join(folder, name)
	b, err := os.ReadFile(p)
	if err == nil {
		err = os.WriteFile(p, f(b), 0o600)
	}
	if err != nil {
		t.Fatal(err)
	}
}

func flip(offset int) func([]byte) []byte {
	return func(b []byte) []byte { b[offset] ^= 1; return b }
}

func terms(s State) (ts []uint64) {
	for i, e := range s.Entries {
		if e.Index != s.Snapshot.Index+uint64(i)+1 {
			return nil
		}
		ts = append(ts, e.Term)
	}
	return ts
}

func equal(t *testing.T, what string, got, want []uint64) {
	t.Helper()
	if len(got) != len(want) {
		t.Fatalf("%s: got terms %v, want %v", what, got, want)
	}
	for i := range got {
		if got[i] != want[i] {
			t.Fatalf("%s: got terms %v, want %v", what, got, want)
		}
	}
}

// A write that a crash tore must neither keep the member from starting nor come
// back behind records that are written in its place.
func TestTornTail(t *testing.T) {
	for name, tear := range map[string]func(b []byte) []byte{
		"cut within a record":  func(b []byte) []byte { return b[:2*recordSize-1] },
		"cut within a header":  func(b []byte) []byte { return b[:recordSize+5] },
		"first of two damaged": flip(recordSize + 30),
		"second of two zeroed": func(b []byte) []byte { clear(b[recordSize+9:]); return b },
	} {
		t.Run(name, func(t *testing.T) {
			folder := t.TempDir()
			l, _ := open(t, folder)
			write(t, l, true, 1, 1)
			write(t, l, false, 1, 2, 3)
			l.Close()
			edit(t, folder, "0000000000000001.log", tear)
			l, s := open(t, folder)
			equal(t, "after the crash", terms(s), []uint64{1})
			write(t, l, true, 2, 2)
			l.Close()
			_, s = open(t, folder)
			equal(t, "after another entry", terms(s), []uint64{1, 2})
		})
	}
}

// Damage that no crash explains must stop the member: without the entries that it
// confirmed, it could help to elect a leader that lacks them. The operator needs
// the place and what to do.
func TestDamageIsReported(t *testing.T) {
	const first, second, third = "0000000000000001.log", "0000000000000002.log", "0000000000000003.log"
	remove := func(folder, name string) error { return os.Remove(filepath.Join(folder, name)) }
	for _, c := range []struct {
		name, file, want string
		edit             func([]byte) []byte // nil removes the file
	}{
		{"middle of the last segment", third, third + ": offset 0: damaged record", flip(30)},
		{"header in the middle", first, first + ": offset 51: damaged record", flip(51)},
		{"end of an earlier segment", first, first + ": offset 204: damaged record", flip(4*recordSize + 40)},
		{"earlier segment cut", first, first + ": offset 204: damaged record", func(b []byte) []byte { return b[:len(b)-1] }},
		{"earlier segment lost", first, second + ": offset 0: entries before this segment are missing", nil},
		{"middle segment lost", second, third + ": offset 0: the segment before it is missing", nil},
		{"snapshot", "0000000000000002.snapshot", "0000000000000002.snapshot: offset 0: checksum differs", flip(60)},
		{"identity", identityName, "Identity: offset 0: checksum differs", flip(20)},
		{"identity lost", identityName, "Identity: offset 0: the file is missing, but 0000000000000001.log exists", nil},
		{"hard state", hardStateName, "HardState: offset 0: no slot has a valid checksum", func(b []byte) []byte { clear(b[1:]); return b }},
		{"hard state lost", hardStateName, "HardState: offset 0: the file is missing", nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			folder := t.TempDir()
			l, _ := open(t, folder)
			for i := range uint64(13) {
				write(t, l, true, 1, i+1)
			}
			if err := l.SaveHardState(HardState{Term: 1, Vote: "x"}); err != nil {
				t.Fatal(err)
			}
			if strings.HasSuffix(c.file, snapshotSuffix) {
				m, err := l.WriteSnapshot(SnapshotMeta{Index: 2, Term: 1}, make([]byte, 100))
				if err != nil || !l.ActivateSnapshot(m) {
					t.Fatal(err)
				}
			}
			l.Close()
			if c.edit != nil {
				edit(t, folder, c.file, c.edit)
			} else if err := remove(folder, c.file); err != nil {
				t.Fatal(err)
			}
			_, err := Open(Options{Folder: folder, Identity: Identity{Name: "a"}})
			want := filepath.Join(folder, c.want) + "; move the folder " + folder +
				" away and restart, so that this member rejoins as a learner"
			if errkind.Of(err) != errkind.Corrupt || err.Error() != want {
				t.Errorf("got %v\nwant %s", err, want)
			}
		})
	}
}

// A rotation that fails for lack of space may leave an empty segment, and the one
// before it is used on. A torn write there must not count as damage.
func TestEmptySegmentAfterTornTail(t *testing.T) {
	folder := t.TempDir()
	l, _ := open(t, folder)
	write(t, l, true, 1, 1, 2)
	l.Close()
	edit(t, folder, "0000000000000001.log", flip(recordSize+30))
	if err := os.WriteFile(filepath.Join(folder, "0000000000000002.log"), nil, 0o600); err != nil {
		t.Fatal(err)
	}
	l, s := open(t, folder)
	equal(t, "after the crash", terms(s), []uint64{1})
	for i := range uint64(10) {
		write(t, l, true, 2, i+2)
	}
	l.Close()
	_, s = open(t, folder)
	equal(t, "after more entries", terms(s), []uint64{1, 2, 2, 2, 2, 2, 2, 2, 2, 2, 2})
}

// A snapshot that a crash left beside the log that it replaces must win.
func TestCrashWhileSnapshotIsInstalled(t *testing.T) {
	folder := t.TempDir()
	l, _ := open(t, folder)
	write(t, l, true, 1, 1, 2, 3, 4, 5, 6)
	if _, err := l.WriteSnapshot(SnapshotMeta{Index: 4, Term: 2}, []byte("data")); err != nil {
		t.Fatal(err)
	}
	l.Close()
	l, s := open(t, folder)
	equal(t, "after the crash", terms(s), nil)
	write(t, l, true, 2, 5)
	l.Close()
	l, s = open(t, folder)
	equal(t, "after another entry", terms(s), []uint64{2})
	if b, err := l.ReadSnapshot(); s.Snapshot.Index != 4 || string(b) != "data" || err != nil {
		t.Errorf("got snapshot %d %q %v, want 4 with its data", s.Snapshot.Index, b, err)
	}
}
