package shuntupstream

import (
	"bytes"
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
//
// The body is read into pieces that are joined at the end. A buffer that grows would leave
// a copy behind each time, and these add up when many servers send without end.
func (m *replyMemory) read(r io.Reader, length int64) ([]byte, error) {
	if length > maxReplyBytes {
		return nil, errors.Annotatef(ErrTooLong, "body of %d bytes", length)
	}
	step := int64(bodyStepBytes)
	if length >= 0 {
		// One more byte than the body has, to read its end.
		step = min(step, length+1)
	}
	held, total := int64(0), 0
	defer func() { m.used.Add(-held) }()
	var full [][]byte
	var piece []byte
	for {
		if len(piece) == cap(piece) {
			if piece != nil {
				full = append(full, piece)
				step = min(2*int64(cap(piece)), maxBodyStepBytes)
			}
			held += step
			// The first bytes of any reply have room, so that the long replies of some
			// servers don't cost others their short ones.
			if used := m.used.Add(step); m.limit > 0 && used > m.limit && piece != nil {
				klog.InfoS("Replies in flight take too much memory; dropping one", "bytes", used, "limit", m.limit, "length", length)
				return nil, errors.Annotate(ErrTooLong, "no memory for the body")
			}
			piece = make([]byte, 0, step)
		}
		n, err := r.Read(piece[len(piece):cap(piece)])
		piece = piece[:len(piece)+n]
		total += n
		switch {
		case err == io.EOF && len(full) == 0:
			return piece, nil
		case err == io.EOF:
			return bytes.Join(append(full, piece), nil), nil
		case err != nil:
			return nil, errors.Trace(err)
		case total > maxReplyBytes:
			return nil, errors.Annotate(ErrTooLong, "body")
		}
	}
}
