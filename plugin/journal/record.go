package journal

import (
	"encoding/binary"
	"hash/crc32"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/go-json-experiment/json"

	"github.com/celeryyard/celeryyard/core/replog"
)

// A segment starts with a header (magic, sequence number, salt, checksum), followed by frames (salt,
// length, checksum, payload). A frame holds the records of one synced write, so a valid frame after
// an invalid one proves damage rather than an interrupted write. The salt is random for each
// segment, so that the data of an entry cannot be mistaken for a frame. The checksum of a frame also
// covers the salt and the frame's offset and length.
const (
	segmentMagic       = "CYSEGM01"
	segmentHeaderBytes = len(segmentMagic) + 8 + 8 + 4
	frameHeaderBytes   = 8 + 4 + 4
)

// Record types within a frame. A record is encoded as type, length and body. The comments list the
// fields of each body.
const (
	recordHead      byte = iota + 1 // first record of a segment: index of the last entry before the segment
	recordHardState                 // term, vote, commit
	recordEntry                     // index, term, kind, data
	recordReleased                  // highest released version
	recordMemberID                  // member ID
	recordSnapshot                  // index, term, reset
	recordFounders                  // instance names, as JSON
)

var castagnoliTable = crc32.MakeTable(crc32.Castagnoli)

var errMalformed = errors.New("record is malformed")

func appendSegmentHeader(b []byte, seq, salt uint64) []byte {
	start := len(b)
	b = append(b, segmentMagic...)
	b = binary.BigEndian.AppendUint64(b, seq)
	b = binary.BigEndian.AppendUint64(b, salt)
	return binary.BigEndian.AppendUint32(b, crc32.Checksum(b[start:], castagnoliTable))
}

// parseSegmentHeader returns the salt of the segment with the sequence number seq, and false if the
// header is invalid.
func parseSegmentHeader(b []byte, seq uint64) (uint64, bool) {
	if len(b) < segmentHeaderBytes {
		return 0, false
	}
	head := b[:segmentHeaderBytes-4]
	if string(head[:len(segmentMagic)]) != segmentMagic ||
		crc32.Checksum(head, castagnoliTable) != binary.BigEndian.Uint32(b[segmentHeaderBytes-4:]) ||
		binary.BigEndian.Uint64(head[8:]) != seq {
		return 0, false
	}
	return binary.BigEndian.Uint64(head[16:]), true
}

// newFrame returns the header of a frame, still empty, to which the payload is appended.
func newFrame() []byte { return make([]byte, frameHeaderBytes) }

// fillFrameHeader fills in the header of a frame with its payload. offset is the position of the frame in its segment.
func fillFrameHeader(frame []byte, salt uint64, offset int64) {
	payload := frame[frameHeaderBytes:]
	binary.BigEndian.PutUint64(frame, salt)
	binary.BigEndian.PutUint32(frame[8:], uint32(len(payload)))
	binary.BigEndian.PutUint32(frame[12:], frameChecksum(salt, offset, payload))
}

// appendFrame appends to b a frame with the payload. offset is the position of the frame in its
// segment.
func appendFrame(b []byte, salt uint64, offset int64, payload []byte) []byte {
	frame := append(newFrame(), payload...)
	fillFrameHeader(frame, salt, offset)
	return append(b, frame...)
}

func frameChecksum(salt uint64, offset int64, payload []byte) uint32 {
	var head [20]byte
	binary.BigEndian.PutUint64(head[:], salt)
	binary.BigEndian.PutUint64(head[8:], uint64(offset))
	binary.BigEndian.PutUint32(head[16:], uint32(len(payload)))
	return crc32.Update(crc32.Checksum(head[:], castagnoliTable), castagnoliTable, payload)
}

// parseFrame returns the payload of the frame at the given offset of segment b, and false if there
// is no valid frame.
func parseFrame(b []byte, salt uint64, offset int) ([]byte, bool) {
	rest := b[offset:]
	if len(rest) < frameHeaderBytes || binary.BigEndian.Uint64(rest) != salt {
		return nil, false
	}
	n := int(binary.BigEndian.Uint32(rest[8:]))
	if n == 0 || n > len(rest)-frameHeaderBytes {
		return nil, false
	}
	payload := rest[frameHeaderBytes : frameHeaderBytes+n]
	return payload, frameChecksum(salt, int64(offset), payload) == binary.BigEndian.Uint32(rest[12:])
}

func appendRecord(b []byte, typ byte, body []byte) []byte {
	b = append(b, typ)
	b = binary.AppendUvarint(b, uint64(len(body)))
	return append(b, body...)
}

func appendUvarintRecord(b []byte, typ byte, values ...uint64) []byte {
	var body []byte
	for _, v := range values {
		body = binary.AppendUvarint(body, v)
	}
	return appendRecord(b, typ, body)
}

func appendEntry(b []byte, e *replog.Entry) ([]byte, error) {
	data := e.Data
	if e.Kind == replog.KindConfig {
		var err error
		if data, err = json.Marshal(e.Config); err != nil {
			return nil, errors.Wrap(err, "encode configuration")
		}
	}
	head := make([]byte, 0, 2*binary.MaxVarintLen64+1)
	head = binary.AppendUvarint(head, e.Index)
	head = binary.AppendUvarint(head, e.Term)
	head = append(head, byte(e.Kind))
	b = slices.Grow(b, 1+binary.MaxVarintLen64+len(head)+len(data))
	b = append(b, recordEntry)
	b = binary.AppendUvarint(b, uint64(len(head)+len(data)))
	return append(append(b, head...), data...), nil
}

func parseEntry(body []byte) (replog.Entry, error) {
	var e replog.Entry
	rest, err := parseUvarints(body, &e.Index, &e.Term)
	if err != nil || len(rest) == 0 || e.Index == 0 {
		return e, errMalformed
	}
	e.Kind = replog.Kind(rest[0])
	rest = rest[1:]
	switch e.Kind {
	case replog.KindEmpty, replog.KindData:
		e.Data = append([]byte(nil), rest...)
	case replog.KindConfig:
		e.Config = &replog.Config{}
		if json.Unmarshal(rest, e.Config) != nil {
			return e, errMalformed
		}
	default:
		return e, errMalformed
	}
	return e, nil
}

// parseUvarints decodes one uvarint into each target and returns the remaining bytes.
func parseUvarints(b []byte, targets ...*uint64) ([]byte, error) {
	for _, p := range targets {
		v, n := binary.Uvarint(b)
		if n <= 0 {
			return nil, errMalformed
		}
		*p, b = v, b[n:]
	}
	return b, nil
}

// forEachRecord calls f for each record of a payload, up to the first error.
func forEachRecord(payload []byte, f func(typ byte, body []byte) error) error {
	for len(payload) > 0 {
		typ := payload[0]
		var n uint64
		rest, err := parseUvarints(payload[1:], &n)
		if err != nil || n > uint64(len(rest)) {
			return errMalformed
		}
		if err := f(typ, rest[:n]); err != nil {
			return err
		}
		payload = rest[n:]
	}
	return nil
}
