package wal

import (
	"bytes"
	"encoding/binary"
	"math"

	"github.com/cespare/xxhash/v2"

	"github.com/gooseberrypick/gooseberrypick/internal/wire"
)

// A record is a header followed by its payload. The header holds, in little
// endian: magic (4 bytes), payload length (4), synced (8) and checksum (8).
// Synced is the offset up to which the segment was durable when the record was
// written. The checksum covers segment number, offset, length, synced and
// payload, so that bytes of an older segment never pass as a record.
const (
	recordMagic  = 0x47504c31
	recordHeader = 24
	entryHeader  = 17 // index (8), term (8), kind (1)
	// maxPayload bounds the length that a damaged header can claim.
	maxPayload = 64 << 20
)

func recordSum(segment uint64, offset int64, header, payload []byte) uint64 {
	var place [16]byte
	binary.LittleEndian.PutUint64(place[:], segment)
	binary.LittleEndian.PutUint64(place[8:], uint64(offset))
	d := xxhash.New()
	_, _ = d.Write(place[:]) // a Digest never fails
	_, _ = d.Write(header[:16])
	_, _ = d.Write(payload)
	return d.Sum64()
}

// appendRecord adds the record of e, which starts at offset, to b.
func appendRecord(b []byte, segment uint64, offset, synced int64, e wire.RaftEntry) []byte {
	start := len(b)
	b = binary.LittleEndian.AppendUint32(b, recordMagic)
	b = binary.LittleEndian.AppendUint32(b, uint32(entryHeader+len(e.Data)))
	b = binary.LittleEndian.AppendUint64(b, uint64(synced))
	b = binary.LittleEndian.AppendUint64(b, 0)
	b = binary.LittleEndian.AppendUint64(b, e.Index)
	b = binary.LittleEndian.AppendUint64(b, e.Term)
	b = append(b, byte(e.Kind))
	b = append(b, e.Data...)
	r := b[start:]
	binary.LittleEndian.PutUint64(r[16:], recordSum(segment, offset, r[:recordHeader], r[recordHeader:]))
	return b
}

// readRecord decodes the record at offset of the segment content b.
func readRecord(b []byte, segment uint64, offset int64) (e wire.RaftEntry, synced, next int64, ok bool) {
	r := b[offset:]
	if len(r) < recordHeader+entryHeader || binary.LittleEndian.Uint32(r) != recordMagic {
		return e, 0, 0, false
	}
	n := int64(binary.LittleEndian.Uint32(r[4:]))
	if n < entryHeader || n > maxPayload || int64(len(r)) < recordHeader+n {
		return e, 0, 0, false
	}
	p := r[recordHeader : recordHeader+n]
	if binary.LittleEndian.Uint64(r[16:]) != recordSum(segment, offset, r, p) {
		return e, 0, 0, false
	}
	e.Index = binary.LittleEndian.Uint64(p)
	e.Term = binary.LittleEndian.Uint64(p[8:])
	e.Kind = wire.RaftEntryKind(p[16])
	if len(p) > entryHeader {
		e.Data = append([]byte(nil), p[entryHeader:]...)
	}
	s := binary.LittleEndian.Uint64(r[8:])
	if s > math.MaxInt64 {
		return e, 0, 0, false
	}
	return e, int64(s), offset + recordHeader + n, true
}

// damagedAfterSync reports whether a record behind the bad one at offset proves
// that the bad one was durable once. A torn write leaves no such record, because
// records behind it were written before the same sync.
func damagedAfterSync(b []byte, segment uint64, offset int64) bool {
	magic := binary.LittleEndian.AppendUint32(nil, recordMagic)
	for o := offset + 1; ; o++ {
		i := bytes.Index(b[o:], magic)
		if i < 0 {
			return false
		}
		o += int64(i)
		if _, synced, _, ok := readRecord(b, segment, o); ok && synced > offset {
			return true
		}
	}
}
