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

// MaxMessageBytes is the maximum size of a message between daemons, in bytes.
const MaxMessageBytes = 8 << 20

const (
	frameHeaderBytes = 4
	readBufferBytes  = 16 << 10
	writeTimeout     = 5 * time.Second
	// maxKeptBufferBytes is the maximum size of the write buffer that a
	// connection keeps after a message, so that a rare large message doesn't
	// occupy memory for the life of the connection.
	maxKeptBufferBytes = 256 << 10
)

// frameConn sends and receives messages of limited size over a connection. Each
// message is one frame: its length as 4 bytes, big-endian, followed by gob data.
// Each direction is a single gob stream, so type definitions are sent only once.
type frameConn struct {
	conn        net.Conn
	reader      *bufio.Reader
	remaining   int // unread bytes of the current frame
	writeBuffer bytes.Buffer
	encoder     *gob.Encoder
	decoder     *gob.Decoder
}

func newFrameConn(c net.Conn) *frameConn {
	f := &frameConn{conn: c, reader: bufio.NewReaderSize(c, readBufferBytes)}
	f.encoder = gob.NewEncoder(&f.writeBuffer)
	f.decoder = gob.NewDecoder(f)
	return f
}

// Read reads the content of the frames, without their headers, for the gob
// decoder. A frame over the size limit is an error before any of its content is
// read.
func (f *frameConn) Read(p []byte) (int, error) {
	if f.remaining == 0 {
		if err := f.readFrameHeader(); err != nil {
			return 0, err
		}
	}
	n, err := f.reader.Read(p[:min(len(p), f.remaining)])
	f.remaining -= n
	return n, err
}

// ReadByte implements io.ByteReader, so that gob doesn't add a buffer of its own.
func (f *frameConn) ReadByte() (byte, error) {
	var b [1]byte
	_, err := io.ReadFull(f, b[:])
	return b[0], err
}

// readFrameHeader reads and checks the length of the next frame.
func (f *frameConn) readFrameHeader() error {
	var header [frameHeaderBytes]byte
	if _, err := io.ReadFull(f.reader, header[:]); err != nil {
		return err
	}
	n := binary.BigEndian.Uint32(header[:])
	if n == 0 || n > MaxMessageBytes {
		return fmt.Errorf("frame of %d bytes is outside the range 1 to %d", n, MaxMessageBytes)
	}
	f.remaining = int(n)
	return nil
}

// write sends header and body as one frame.
func (f *frameConn) write(header, body any) error {
	f.writeBuffer.Reset()
	f.writeBuffer.Write(make([]byte, frameHeaderBytes))
	if err := f.encoder.Encode(header); err != nil {
		return err
	}
	if err := f.encoder.Encode(body); err != nil {
		return err
	}
	b := f.writeBuffer.Bytes()
	n := len(b) - frameHeaderBytes
	if n > MaxMessageBytes {
		return fmt.Errorf("message of %d bytes exceeds the limit of %d", n, MaxMessageBytes)
	}
	binary.BigEndian.PutUint32(b, uint32(n))
	if err := f.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	_, err := f.conn.Write(b)
	if f.writeBuffer.Cap() > maxKeptBufferBytes {
		f.writeBuffer = bytes.Buffer{}
	}
	return err
}

// Close closes the connection.
func (f *frameConn) Close() error { return f.conn.Close() }

// writeOrClose calls write and closes the connection if that fails, because the
// state of the gob stream is unknown then.
func (f *frameConn) writeOrClose(header, body any) error {
	err := f.write(header, body)
	if err != nil {
		_ = f.Close()
	}
	return err
}

// serverCodec implements rpc.ServerCodec.
type serverCodec struct {
	*frameConn
}

// ReadRequestHeader implements rpc.ServerCodec.
func (c serverCodec) ReadRequestHeader(r *rpc.Request) error { return c.decoder.Decode(r) }

// ReadRequestBody implements rpc.ServerCodec.
func (c serverCodec) ReadRequestBody(body any) error { return c.decoder.Decode(body) }

// WriteResponse implements rpc.ServerCodec.
func (c serverCodec) WriteResponse(r *rpc.Response, body any) error { return c.writeOrClose(r, body) }

// clientCodec implements rpc.ClientCodec.
type clientCodec struct {
	*frameConn
}

// ReadResponseHeader implements rpc.ClientCodec.
func (c clientCodec) ReadResponseHeader(r *rpc.Response) error { return c.decoder.Decode(r) }

// ReadResponseBody implements rpc.ClientCodec.
func (c clientCodec) ReadResponseBody(body any) error { return c.decoder.Decode(body) }

// WriteRequest implements rpc.ClientCodec.
func (c clientCodec) WriteRequest(r *rpc.Request, body any) error { return c.writeOrClose(r, body) }
