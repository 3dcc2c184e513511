package shuntupstream

import (
	"io"
	"sync/atomic"

	"github.com/juju/errors"
	"k8s.io/klog/v2"
)

// ErrTooLong is the cause of an outcome if a server sent more than a reply may have.
var ErrTooLong = errors.New("the reply is too long")

// boundedReader reads from a connection up to a bound. A server in trouble may send
// bytes without end.
type boundedReader struct {
	reader io.Reader
	part   string
	left   int
}

// allow sets the number of bytes that may be read for a part of a reply.
func (b *boundedReader) allow(part string, bytes int) { b.part, b.left = part, bytes }

// Read implements io.Reader.
func (b *boundedReader) Read(p []byte) (int, error) {
	if b.left <= 0 {
		return 0, errors.Annotatef(ErrTooLong, "%s", b.part)
	}
	n, err := b.reader.Read(p[:min(len(p), b.left)])
	b.left -= n
	return n, err
}

// replyMemory limits the memory of all replies that are being read: single replies
// within their bounds add up when an index of many shards sends long ones.
type replyMemory struct {
	// limit is in bytes; 0 means no limit.
	limit int64
	used  atomic.Int64
}

// read reads a body up to maxReplyBytes. length is its length if that is known, or
// -1. Only io.EOF ends a body: anything else means that it is incomplete.
func (m *replyMemory) read(r io.Reader, length int64) ([]byte, error) {
	if length > maxReplyBytes {
		return nil, errors.Annotatef(ErrTooLong, "body of %d bytes", length)
	}
	size := int64(bodyStepBytes)
	if length >= 0 {
		// One more byte than the body has, to read its end.
		size = min(size, length+1)
	}
	held := int64(0)
	defer func() { m.used.Add(-held) }()
	var body []byte
	for {
		if len(body) == cap(body) {
			size = max(size, int64(cap(body)))
			held += size
			// The first bytes of any reply have room, so that the long replies of some
			// servers don't cost others their short ones.
			if used := m.used.Add(size); m.limit > 0 && used > m.limit && body != nil {
				klog.InfoS("Replies in flight take too much memory; dropping one", "bytes", used, "limit", m.limit, "length", length)
				return nil, errors.Annotate(ErrTooLong, "no memory for the body")
			}
			body = append(make([]byte, 0, len(body)+int(size)), body...)
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case err == io.EOF:
			return body, nil
		case err != nil:
			return nil, errors.Trace(err)
		case len(body) > maxReplyBytes:
			return nil, errors.Annotate(ErrTooLong, "body")
		}
	}
}
