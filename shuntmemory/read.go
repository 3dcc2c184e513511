package shuntmemory

import (
	"bytes"
	"io"
	"sync"

	"github.com/juju/errors"
)

const (
	// firstBytes is how much memory a body takes at first, unless its length is known to
	// be smaller.
	firstBytes = 8 << 10
	// blockBytes is how much more a longer one takes at a time.
	blockBytes = 64 << 10
	// progressBytes is the number of bytes that count as progress. Less is a trickle that
	// holds memory for as long as the peer likes.
	progressBytes = 4 << 10
)

// ErrTooLong is the cause of the error of a body that is longer than allowed.
var ErrTooLong = errors.New("the body is too long")

// blocks are used again for other bodies: without that, those of bodies that are dropped
// stay in memory until the next garbage collection, and peers that send without end fill
// them faster than that.
var blocks = sync.Pool{New: func() any { return new([blockBytes]byte) }}

// ReadConfig describes a body to be read.
type ReadConfig struct {
	Holder *Holder
	// Length is the length of the body if that is known, or -1.
	Length int64
	// MaxLength is the greatest allowed length.
	MaxLength int64
}

// Read reads a body. Only io.EOF ends it: anything else means that it is incomplete.
// The holder holds the body afterwards, and nothing of it if there is an error. The first
// bytes of any body have room, so that long bodies don't keep out short ones.
//
// A body that does not fit its first buffer is read into blocks that are joined at the
// end. A buffer that grows would leave a copy behind each time.
func Read(r io.Reader, c ReadConfig) ([]byte, error) {
	if c.Length > c.MaxLength {
		return nil, errors.Annotatef(ErrTooLong, "%d bytes", c.Length)
	}
	b := bodyReader{reader: r, config: c}
	body, err := b.read()
	for _, block := range b.blocks {
		blocks.Put(block)
	}
	c.Holder.Add(int64(len(body)) - b.held)
	return body, err
}

// bodyReader reads one body.
type bodyReader struct {
	reader io.Reader
	config ReadConfig
	// held is how much the holder holds for the body.
	held   int64
	blocks []*[blockBytes]byte
	// unmarked is the number of bytes since progress was last recorded.
	unmarked int
}

func (b *bodyReader) read() ([]byte, error) {
	first := int64(firstBytes)
	if b.config.Length >= 0 {
		// One more byte than the body has, to read its end.
		first = min(first, b.config.Length+1)
	}
	b.held = first
	b.config.Holder.Add(first)
	body, err := b.fill(make([]byte, first))
	if err == io.EOF {
		return body, nil
	}
	parts := [][]byte{body}
	total := int64(len(body))
	for err == nil && total <= b.config.MaxLength {
		if err := b.config.Holder.Reserve(blockBytes); err != nil {
			return nil, err
		}
		b.held += blockBytes
		block := blocks.Get().(*[blockBytes]byte)
		b.blocks = append(b.blocks, block)
		var part []byte
		part, err = b.fill(block[:])
		parts = append(parts, part)
		total += int64(len(part))
	}
	switch {
	case total > b.config.MaxLength:
		return nil, errors.Trace(ErrTooLong)
	case err != io.EOF:
		return nil, errors.Trace(err)
	}
	// A complete body is not dropped for the memory of its copy: that would free what it
	// holds only to make the peer send it again.
	b.held += total
	b.config.Holder.Add(total)
	return bytes.Join(parts, nil), nil
}

// fill reads until the buffer is full and returns what was read. The error is that of the
// reader, io.EOF too, and nil if the buffer is full.
func (b *bodyReader) fill(buffer []byte) ([]byte, error) {
	n := 0
	for n < len(buffer) {
		read, err := b.reader.Read(buffer[n:])
		n += read
		b.unmarked += read
		if b.unmarked >= progressBytes {
			b.unmarked = 0
			b.config.Holder.Moved()
		}
		if err != nil {
			return buffer[:n], err
		}
	}
	return buffer, nil
}
