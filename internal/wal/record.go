package wal

import (
	"bytes"
	"encoding/binary"
	"math"

	"github.com/cespare/xxhash/v2"

	"github.com/gooseberrypick/gooseberrypick/internal/wire"
)

// A record consists of a header and a payload. The header holds, in little endian:
// magic number (4 bytes), payload length (4), synced offset (8) and checksum (8).
// The synced offset tells how much of the segment was durable when the record was
// written. The checksum covers the segment number, the offset of the record, the
// header without the checksum, and the payload, so that bytes of an older segment
// are never taken for a record.
const (
	recordMagic  = 0x47504c31
	recordHeader = 24
	entryHeader  = 17 // index (8), term (8), kind (1)
	// maxPayload bounds the payload length that a damaged header can claim.
	maxPayload = 64 << 20
)

func recordChecksum(segment uint64, offset int64, header, payload []byte) uint64 {
	var position [16]byte
	binary.LittleEndian.PutUint64(position[:], segment)
	binary.LittleEndian.PutUint64(position[8:], uint64(offset))
	d := xxhash.New()
	_, _ = d.Write(position[:]) // never returns an error
	_, _ = d.Write(header[:16])
	_, _ = d.Write(payload)
	return d.Sum64()
}

// appendRecord appends the record of e to b. The record starts at the given offset
// of the segment.
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
	binary.LittleEndian.PutUint64(r[16:], recordChecksum(segment, offset, r[:recordHeader], r[recordHeader:]))
	return b
}

// readRecord decodes the record at offset of a segment with content b. It returns
// the offset of the next record, and false if there is no valid record.
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
	if binary.LittleEndian.Uint64(r[16:]) != recordChecksum(segment, offset, r, p) {
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

// damagedAfterSync reports whether a record after the bad one at offset proves that
// the bad one had been durable. A torn write leaves no such record, because any
// record after it was written before the same sync.
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
