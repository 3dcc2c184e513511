package shuntcall

import (
	"bytes"
	"slices"
)

// recordBytes is the length of one record in a shard's answer.
const recordBytes = 16

// MergeTopRecords returns the top greatest records of the parts in descending byte
// order. Duplicates are kept. Trailing bytes of a part that do not fill a record are
// ignored.
func MergeTopRecords(parts [][]byte, top int) []byte {
	n := 0
	for _, p := range parts {
		n += len(p) / recordBytes
	}
	records := make([][]byte, 0, n)
	for _, p := range parts {
		for len(p) >= recordBytes {
			records = append(records, p[:recordBytes])
			p = p[recordBytes:]
		}
	}
	slices.SortFunc(records, func(a, b []byte) int { return bytes.Compare(b, a) })
	records = records[:min(len(records), top)]
	return bytes.Join(records, nil)
}
