package shuntpeer

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/gob"
	"fmt"
	"io"
	"net"
	"net/rpc"
	"time"
)

// MaxMessageBytes is the largest message between daemons, in bytes.
const MaxMessageBytes = 8 << 20

const (
	frameHeaderBytes = 4
	bufferBytes      = 16 << 10
	writeTimeout     = 5 * time.Second
	// keptBufferBytes is the largest write buffer that a connection keeps
	// after a message; a rare big message must not hold memory for good.
	keptBufferBytes = 256 << 10
)

// frames turns a connection into bounded messages. Each direction is one gob
// stream, so that types are sent once; each message is one frame.
type frames struct {
	conn    net.Conn
	reader  *bufio.Reader
	left    int
	writer  bytes.Buffer
	encoder *gob.Encoder
	decoder *gob.Decoder
}

func newFrames(c net.Conn) *frames {
	f := &frames{conn: c, reader: bufio.NewReaderSize(c, bufferBytes)}
	f.encoder = gob.NewEncoder(&f.writer)
	f.decoder = gob.NewDecoder(f)
	return f
}

// Read gives the gob decoder the bytes of the frames, refusing frames over
// the limit before it reads them.
func (f *frames) Read(p []byte) (int, error) {
	if f.left == 0 {
		if err := f.nextFrame(); err != nil {
			return 0, err
		}
	}
	n, err := f.reader.Read(p[:min(len(p), f.left)])
	f.left -= n
	return n, err
}

// ReadByte makes frames an io.ByteReader, so that gob adds no buffer of its own.
func (f *frames) ReadByte() (byte, error) {
	var b [1]byte
	_, err := io.ReadFull(f, b[:])
	return b[0], err
}

func (f *frames) nextFrame() error {
	var h [frameHeaderBytes]byte
	if _, err := io.ReadFull(f.reader, h[:]); err != nil {
		return err
	}
	n := binary.BigEndian.Uint32(h[:])
	if n == 0 || n > MaxMessageBytes {
		return fmt.Errorf("frame of %d bytes; the limit is %d", n, MaxMessageBytes)
	}
	f.left = int(n)
	return nil
}

// write sends the values as one frame.
func (f *frames) write(header, body any) error {
	f.writer.Reset()
	f.writer.Write(make([]byte, frameHeaderBytes))
	if err := f.encoder.Encode(header); err != nil {
		return err
	}
	if err := f.encoder.Encode(body); err != nil {
		return err
	}
	b := f.writer.Bytes()
	n := len(b) - frameHeaderBytes
	if n > MaxMessageBytes {
		return fmt.Errorf("message of %d bytes; the limit is %d", n, MaxMessageBytes)
	}
	binary.BigEndian.PutUint32(b, uint32(n))
	if err := f.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	_, err := f.conn.Write(b)
	if f.writer.Cap() > keptBufferBytes {
		f.writer = bytes.Buffer{}
	}
	return err
}

// Close closes the connection.
func (f *frames) Close() error { return f.conn.Close() }

// writeOrClose closes the connection when the write fails: the gob stream is
// then in an unknown state.
func (f *frames) writeOrClose(header, body any) error {
	err := f.write(header, body)
	if err != nil {
		_ = f.Close()
	}
	return err
}

// serverCodec implements rpc.ServerCodec.
type serverCodec struct {
	*frames
}

// ReadRequestHeader implements rpc.ServerCodec.
func (c serverCodec) ReadRequestHeader(r *rpc.Request) error { return c.decoder.Decode(r) }

// ReadRequestBody implements rpc.ServerCodec.
func (c serverCodec) ReadRequestBody(body any) error { return c.decoder.Decode(body) }

// WriteResponse implements rpc.ServerCodec.
func (c serverCodec) WriteResponse(r *rpc.Response, body any) error { return c.writeOrClose(r, body) }

// clientCodec implements rpc.ClientCodec.
type clientCodec struct {
	*frames
}

// ReadResponseHeader implements rpc.ClientCodec.
func (c clientCodec) ReadResponseHeader(r *rpc.Response) error { return c.decoder.Decode(r) }

// ReadResponseBody implements rpc.ClientCodec.
func (c clientCodec) ReadResponseBody(body any) error { return c.decoder.Decode(body) }

// WriteRequest implements rpc.ClientCodec.
func (c clientCodec) WriteRequest(r *rpc.Request, body any) error { return c.writeOrClose(r, body) }
