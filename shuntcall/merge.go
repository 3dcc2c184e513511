package shuntcall

import (
	"bytes"
	"slices"
)

// recordBytes is the length of one record in a shard's answer.
const recordBytes = 16

// minTrimmedBytes is the length of a part from which on it is trimmed. For shorter ones, that
// would cost more than they hold.
const minTrimmedBytes = 8 << 10

// MergeTopRecords returns the top greatest records of the parts in descending byte
// order. Duplicates are kept. Trailing bytes of a part that do not fill a record are
// ignored.
func MergeTopRecords(parts [][]byte, top int) []byte {
	total := 0
	for _, p := range parts {
		total += len(p) / recordBytes
	}
	greatest := make([][]byte, 0, max(0, min(top, total)))
	for _, p := range parts {
		for ; len(p) >= recordBytes; p = p[recordBytes:] {
			record := p[:recordBytes]
			if len(greatest) >= top {
				if top <= 0 || bytes.Compare(record, greatest[top-1]) <= 0 {
					continue
				}
				greatest = greatest[:top-1]
			}
			i, _ := slices.BinarySearchFunc(greatest, record, func(a, b []byte) int { return bytes.Compare(b, a) })
			greatest = slices.Insert(greatest, i, record)
		}
	}
	return bytes.Join(greatest, nil)
}

// keepTopRecords returns a part with only those records that may be among the top greatest
// of all parts.
func keepTopRecords(part []byte, top int) []byte {
	if len(part) < minTrimmedBytes || len(part) <= top*recordBytes {
		return part
	}
	return MergeTopRecords([][]byte{part}, top)
}
