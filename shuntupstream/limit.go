package shuntupstream

import (
	"bytes"
	"io"
	"sync"
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

// bodyBlocks are used again for other bodies: without that, those of replies that are
// dropped stay in memory until the next garbage collection, and servers that send without
// end fill them faster than that.
var bodyBlocks = sync.Pool{New: func() any { return new([bodyBlockBytes]byte) }}

// read reads a body up to maxReplyBytes. length is its length if that is known, or
// -1. Only io.EOF ends a body: anything else means that it is incomplete.
//
// A body that does not fit its first buffer is read into blocks that are joined at the
// end. A buffer that grows would leave a copy behind each time.
func (m *replyMemory) read(r io.Reader, length int64) ([]byte, error) {
	if length > maxReplyBytes {
		return nil, errors.Annotatef(ErrTooLong, "body of %d bytes", length)
	}
	first := int64(firstBodyBytes)
	if length >= 0 {
		// One more byte than the body has, to read its end.
		first = min(first, length+1)
	}
	// The first bytes of any reply have room, so that the long replies of some servers
	// don't cost others their short ones.
	held := first
	m.used.Add(held)
	defer func() { m.used.Add(-held) }()
	grow := func(n int64) error {
		held += n
		if used := m.used.Add(n); m.limit > 0 && used > m.limit {
			klog.InfoS("Replies in flight take too much memory; dropping one", "bytes", used, "limit", m.limit, "length", length)
			return errors.Annotate(ErrTooLong, "no memory for the body")
		}
		return nil
	}
	body, err := fill(r, make([]byte, first))
	if err == io.EOF {
		return body, nil
	}
	parts := [][]byte{body}
	var blocks []*[bodyBlockBytes]byte
	defer func() {
		for _, b := range blocks {
			bodyBlocks.Put(b)
		}
	}()
	total := int64(len(body))
	for err == nil && total <= maxReplyBytes {
		if err := grow(bodyBlockBytes); err != nil {
			return nil, err
		}
		block := bodyBlocks.Get().(*[bodyBlockBytes]byte)
		blocks = append(blocks, block)
		var part []byte
		part, err = fill(r, block[:])
		parts = append(parts, part)
		total += int64(len(part))
	}
	switch {
	case total > maxReplyBytes:
		return nil, errors.Annotate(ErrTooLong, "body")
	case err != io.EOF:
		return nil, errors.Trace(err)
	}
	// A complete body is not dropped for the memory of its copy: that would free what it
	// holds only to make the server send it again.
	held += total
	m.used.Add(total)
	return bytes.Join(parts, nil), nil
}

// fill reads until the buffer is full and returns what was read. The error is that of the
// reader, io.EOF too, and nil if the buffer is full.
func fill(r io.Reader, buffer []byte) ([]byte, error) {
	n := 0
	for n < len(buffer) {
		read, err := r.Read(buffer[n:])
		n += read
		if err != nil {
			return buffer[:n], err
		}
	}
	return buffer, nil
}
