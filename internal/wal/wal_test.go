package wal

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/gooseberrypick/gooseberrypick/internal/wire"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

// recordSize is the size of each record that appendEntries writes.
const recordSize = recordHeader + entryHeader + 10

func openLog(t *testing.T, folder string) (*Log, State) {
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

func appendEntries(t *testing.T, l *Log, sync bool, term uint64, indexes ...uint64) {
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

// editFile replaces the content of a file with the result of f.
func editFile(t *testing.T, folder, name string, f func(b []byte) []byte) {
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

func flipBit(offset int) func([]byte) []byte {
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

func checkTerms(t *testing.T, what string, got, want []uint64) {
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

// After a crash in the middle of a write, the member must start, and the torn
// records must not reappear after the records that overwrite them.
func TestTornTail(t *testing.T) {
	for name, tear := range map[string]func(b []byte) []byte{
		"cut within a record":  func(b []byte) []byte { return b[:2*recordSize-1] },
		"cut within a header":  func(b []byte) []byte { return b[:recordSize+5] },
		"first of two damaged": flipBit(recordSize + 30),
		"second of two zeroed": func(b []byte) []byte { clear(b[recordSize+9:]); return b },
	} {
		t.Run(name, func(t *testing.T) {
			folder := t.TempDir()
			l, _ := openLog(t, folder)
			appendEntries(t, l, true, 1, 1)
			appendEntries(t, l, false, 1, 2, 3)
			l.Close()
			editFile(t, folder, "0000000000000001.log", tear)
			l, s := openLog(t, folder)
			checkTerms(t, "after the crash", terms(s), []uint64{1})
			appendEntries(t, l, true, 2, 2)
			l.Close()
			_, s = openLog(t, folder)
			checkTerms(t, "after another entry", terms(s), []uint64{1, 2})
		})
	}
}

// The member must not start with damage that a crash cannot have caused: without
// the entries that it acknowledged, it could help to elect a leader that lacks
// them. The error must tell the operator where the damage is and what to do.
func TestDamageIsReported(t *testing.T) {
	const first, second, third = "0000000000000001.log", "0000000000000002.log", "0000000000000003.log"
	remove := func(folder, name string) error { return os.Remove(filepath.Join(folder, name)) }
	for _, c := range []struct {
		name, file, want string
		edit             func([]byte) []byte // nil to remove the file
	}{
		{"middle of the last segment", third, third + ": offset 0: damaged record", flipBit(30)},
		{"header in the middle", first, first + ": offset 51: damaged record", flipBit(51)},
		{"end of an earlier segment", first, first + ": offset 204: damaged record", flipBit(4*recordSize + 40)},
		{"earlier segment cut", first, first + ": offset 204: damaged record", func(b []byte) []byte { return b[:len(b)-1] }},
		{"earlier segment lost", first, second + ": offset 0: entries before this segment are missing", nil},
		{"middle segment lost", second, third + ": offset 0: the segment before it is missing", nil},
		{"snapshot", "0000000000000002.snapshot", "0000000000000002.snapshot: offset 0: checksum differs", flipBit(60)},
		{"identity", identityName, "Identity: offset 0: checksum differs", flipBit(20)},
		{"identity lost", identityName, "Identity: offset 0: the file is missing, but 0000000000000001.log exists", nil},
		{"hard state", hardStateName, "HardState: offset 0: no slot has a valid checksum", func(b []byte) []byte { clear(b[1:]); return b }},
		{"hard state lost", hardStateName, "HardState: offset 0: the file is missing", nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			folder := t.TempDir()
			l, _ := openLog(t, folder)
			for i := range uint64(13) {
				appendEntries(t, l, true, 1, i+1)
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
				editFile(t, folder, c.file, c.edit)
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

// A rotation that fails for lack of disk space can leave an empty segment, after
// which the previous segment is used again. A torn write in that segment must not
// be reported as damage.
func TestEmptySegmentAfterTornTail(t *testing.T) {
	folder := t.TempDir()
	l, _ := openLog(t, folder)
	appendEntries(t, l, true, 1, 1, 2)
	l.Close()
	editFile(t, folder, "0000000000000001.log", flipBit(recordSize+30))
	if err := os.WriteFile(filepath.Join(folder, "0000000000000002.log"), nil, 0o600); err != nil {
		t.Fatal(err)
	}
	l, s := openLog(t, folder)
	checkTerms(t, "after the crash", terms(s), []uint64{1})
	for i := range uint64(10) {
		appendEntries(t, l, true, 2, i+2)
	}
	l.Close()
	_, s = openLog(t, folder)
	checkTerms(t, "after more entries", terms(s), []uint64{1, 2, 2, 2, 2, 2, 2, 2, 2, 2, 2})
}

// If a crash left a received snapshot beside the log that it replaces, the snapshot
// must be used.
func TestCrashWhileSnapshotIsInstalled(t *testing.T) {
	folder := t.TempDir()
	l, _ := openLog(t, folder)
	appendEntries(t, l, true, 1, 1, 2, 3, 4, 5, 6)
	if _, err := l.WriteSnapshot(SnapshotMeta{Index: 4, Term: 2}, []byte("data")); err != nil {
		t.Fatal(err)
	}
	l.Close()
	l, s := openLog(t, folder)
	checkTerms(t, "after the crash", terms(s), nil)
	appendEntries(t, l, true, 2, 5)
	l.Close()
	l, s = openLog(t, folder)
	checkTerms(t, "after another entry", terms(s), []uint64{2})
	if b, err := l.ReadSnapshot(); s.Snapshot.Index != 4 || string(b) != "data" || err != nil {
		t.Errorf("got snapshot %d %q %v, want 4 with its data", s.Snapshot.Index, b, err)
	}
}
