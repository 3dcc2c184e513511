package shuntcapacity

import (
	"bufio"
	"bytes"
	"net"
	"strconv"
	"sync"
)

// responder is a minimal backend server. It reads HTTP/1.1 requests line by line
// and repeats the identifying headers in its responses. Its own cost is included
// in the measurements, but is small compared with that of the system.
type responder struct {
	listener net.Listener
	rows     []byte
	group    sync.WaitGroup
	// release, if not nil, holds back all responses until it is closed.
	release chan struct{}
}

func newResponder(rows []byte) (*responder, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &responder{listener: l, rows: rows}
	r.group.Go(r.accept)
	return r, nil
}

func (r *responder) address() string { return r.listener.Addr().String() }

func (r *responder) accept() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.group.Go(func() { r.serve(c) })
	}
}

// echoedHeaders are the prefixes of the request headers to repeat.
var echoedHeaders = [][]byte{[]byte("Query: "), []byte("Attempt: "), []byte("Shard: "), []byte("Snapshot: ")}

func (r *responder) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReaderSize(c, 2<<10)
	var out bytes.Buffer
	for {
		out.Reset()
		out.WriteString("HTTP/1.1 200 OK\r\nStart: s\r\n")
		n, err := r.readRequest(in, &out)
		if err != nil {
			return
		}
		if _, err := in.Discard(n); err != nil {
			return
		}
		if r.release != nil {
			<-r.release
		}
		out.WriteString("Content-Length: " + strconv.Itoa(len(r.rows)) + "\r\n\r\n")
		out.Write(r.rows)
		if _, err := c.Write(out.Bytes()); err != nil {
			return
		}
	}
}

// readRequest reads the request line and headers, copies the headers to repeat to
// out, and returns the length of the body.
func (r *responder) readRequest(in *bufio.Reader, out *bytes.Buffer) (int, error) {
	n := 0
	for {
		line, err := in.ReadSlice('\n')
		if err != nil {
			return 0, err
		}
		if len(line) <= 2 {
			return n, nil
		}
		if v, ok := bytes.CutPrefix(line, []byte("Content-Length: ")); ok {
			n, _ = strconv.Atoi(string(bytes.TrimSpace(v)))
		}
		for _, p := range echoedHeaders {
			if bytes.HasPrefix(line, p) {
				out.Write(line)
			}
		}
	}
}
