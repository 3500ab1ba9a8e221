package wal

import (
	"encoding/binary"
	"path/filepath"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/gooseberrypick/gooseberrypick/internal/wire"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

const (
	identityName  = "Identity"
	hardStateName = "HardState"
)

// Identity tells to which member of which group the folder belongs.
type Identity struct {
	// Identity is random. It is never reused after the folder is lost.
	Identity string `cbor:"1,keyasint"`
	Name     string `cbor:"2,keyasint"`
	// Lineage is empty until the member belongs to a group.
	Lineage string `cbor:"3,keyasint"`
	// Initial is the membership at bootstrap. It is empty for a member that joined
	// later.
	Initial []wire.RaftMember `cbor:"4,keyasint,omitempty"`
}

// SaveIdentity durably replaces the identity.
func (l *Log) SaveIdentity(i Identity) error {
	b, err := wire.Marshal(&i)
	if err != nil {
		return err
	}
	if err := l.writeFramed(identityName, b); err != nil {
		return err
	}
	l.state.Identity = i
	return nil
}

// loadIdentity reads the identity. In an empty folder it saves i before any other
// file is written.
func (l *Log) loadIdentity(names []string, i Identity) error {
	if !slices.Contains(names, identityName) {
		for _, n := range names {
			if n != lockName {
				return l.corruptError(identityName, 0, "the file is missing, but "+n+" exists")
			}
		}
		return l.SaveIdentity(i)
	}
	b, err := l.readFramed(identityName)
	if err != nil {
		return err
	}
	if err := wire.Unmarshal(b, &l.state.Identity); err != nil {
		return l.corruptError(identityName, framedHeader, err.Error())
	}
	if l.state.Identity.Name != i.Name {
		return errkind.New(errkind.Usage, "folder %s belongs to member %q, not %q", l.folder, l.state.Identity.Name, i.Name)
	}
	return nil
}

// HardState is the current term of a member and its vote in that term.
type HardState struct {
	Term uint64
	Vote string
}

// The hard state is stored in two slots of a file that are written in turn and
// never grow. A torn write leaves the other slot intact, and a full disk does not
// keep a member from voting. The slots lie in different pages.
const (
	slotBytes   = 256
	slotStride  = 4096
	slotHeader  = 26 // checksum (8), sequence (8), term (8), length of vote (2)
	maxVoteSize = slotBytes - slotHeader
)

type hardStateFile struct {
	file     File
	sequence uint64
}

// SaveHardState durably replaces the hard state.
func (l *Log) SaveHardState(h HardState) error {
	if l.failed != nil {
		return l.failed
	}
	if len(h.Vote) > maxVoteSize {
		return errors.Errorf("vote of %d bytes exceeds %d", len(h.Vote), maxVoteSize)
	}
	var b [slotBytes]byte
	l.hardState.sequence++
	binary.LittleEndian.PutUint64(b[8:], l.hardState.sequence)
	binary.LittleEndian.PutUint64(b[16:], h.Term)
	binary.LittleEndian.PutUint16(b[24:], uint16(len(h.Vote)))
	copy(b[slotHeader:], h.Vote)
	binary.LittleEndian.PutUint64(b[:], xxhash.Sum64(b[8:]))
	at := int64(l.hardState.sequence%2) * slotStride
	_, err := l.hardState.file.WriteAt(b[:], at)
	if err == nil {
		err = l.hardState.file.Sync()
	}
	switch {
	case isDiskFull(err): // some file systems allocate space even to overwrite data
		l.hardState.sequence-- // the other slot holds the durable state
		return wrapDiskError(err, "write %s", hardStateName)
	case err != nil:
		return l.fail(err, "write "+hardStateName)
	}
	l.state.HardState = h
	return nil
}

func (l *Log) loadHardState(names []string) error {
	if !slices.Contains(names, hardStateName) {
		if l.state.Identity.Lineage != "" {
			return l.corruptError(hardStateName, 0, "the file is missing")
		}
		if err := l.createHardState(); err != nil {
			return err
		}
	}
	p := filepath.Join(l.folder, hardStateName)
	f, err := l.fs.Open(p)
	if err != nil {
		return wrapDiskError(err, "open %s", p)
	}
	l.hardState.file = f
	b, err := readAll(f, p)
	if err != nil {
		return err
	}
	found := false
	for at := 0; at+slotBytes <= len(b) && at <= slotStride; at += slotStride {
		s := b[at : at+slotBytes]
		n := int(binary.LittleEndian.Uint16(s[24:]))
		if binary.LittleEndian.Uint64(s) != xxhash.Sum64(s[8:]) || n > maxVoteSize {
			continue
		}
		if q := binary.LittleEndian.Uint64(s[8:]); !found || q > l.hardState.sequence {
			found, l.hardState.sequence = true, q
			l.state.HardState = HardState{Term: binary.LittleEndian.Uint64(s[16:]), Vote: string(s[slotHeader : slotHeader+n])}
		}
	}
	if !found {
		return l.corruptError(hardStateName, 0, "no slot has a valid checksum")
	}
	return nil
}

// createHardState writes both slots to a temporary file first, so that the file is
// either missing or complete.
func (l *Log) createHardState() error {
	temp := filepath.Join(l.folder, hardStateName+tempSuffix)
	f, err := l.fs.Open(temp)
	if err != nil {
		return wrapDiskError(err, "create %s", temp)
	}
	var b [slotStride + slotBytes]byte
	for at := 0; at <= slotStride; at += slotStride {
		s := b[at : at+slotBytes]
		binary.LittleEndian.PutUint64(s, xxhash.Sum64(s[8:]))
	}
	if _, err = f.WriteAt(b[:], 0); err == nil {
		err = f.Sync()
	}
	f.Close()
	if err == nil {
		err = l.fs.Rename(temp, filepath.Join(l.folder, hardStateName))
	}
	if err == nil {
		err = l.fs.SyncFolder(l.folder)
	}
	if err != nil {
		return wrapDiskError(err, "create %s", filepath.Join(l.folder, hardStateName))
	}
	return nil
}
