package shuntmemory

import "bytes"

// FieldBytes is the memory that a field of a header takes beside its text.
const FieldBytes = 256

// HeadBytes returns the memory that the header in b, or a part of one, takes once it has been
// parsed. What follows the header in b does not count.
func HeadBytes(b []byte) int64 {
	if end := bytes.Index(b, []byte("\r\n\r\n")); end >= 0 {
		b = b[:end]
	}
	return int64(len(b) + FieldBytes*bytes.Count(b, []byte("\n")))
}
