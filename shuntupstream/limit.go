package shuntupstream

import (
	"io"

	"github.com/juju/errors"

	"mulberryshunt.example/mulberryshunt/shuntmemory"
)

// ErrTooLong is the cause of an outcome if a server sent more than a reply may have.
var ErrTooLong = errors.New("the reply is too long")

// boundedReader reads from a connection up to a bound. A server in trouble may send
// bytes without end.
type boundedReader struct {
	reader io.Reader
	part   string
	left   int
	// held holds the memory of a head, of which headBytes have been read and headMemory
	// is taken; nil while another part is read.
	held       *shuntmemory.Holder
	headBytes  int
	headMemory int64
}

// allowHead lets the head of a reply be read, for which held holds the memory.
func (b *boundedReader) allowHead(held *shuntmemory.Holder) {
	b.part, b.left = "head", maxHeadBytes
	b.held, b.headBytes, b.headMemory = held, 0, 0
}

// allowBody lets the body be read that follows the head, and returns how much memory is held
// for that.
func (b *boundedReader) allowBody() int64 {
	b.part, b.left, b.held = "body", maxReplyBytes+maxFramingBytes, nil
	return b.headMemory
}

// Read implements io.Reader.
func (b *boundedReader) Read(p []byte) (int, error) {
	if b.left <= 0 {
		return 0, errors.Annotatef(ErrTooLong, "%s", b.part)
	}
	n, err := b.reader.Read(p[:min(len(p), b.left)])
	b.left -= n
	if short := b.takeHead(p[:n]); short != nil {
		return 0, short
	}
	return n, err
}

// takeHead takes the memory for a part of a head. There is always room for short heads.
func (b *boundedReader) takeHead(p []byte) error {
	if b.held == nil {
		return nil
	}
	memory := shuntmemory.HeadBytes(p)
	b.headBytes += len(p)
	if b.headBytes <= readBufferBytes {
		b.held.Add(memory)
	} else if err := b.held.Reserve(memory); err != nil {
		return errors.Annotatef(ErrTooLong, "no memory for the head: %v", err)
	}
	b.headMemory += memory
	return nil
}
