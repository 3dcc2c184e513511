package shuntcapacity

import (
	"bufio"
	"bytes"
	"net"
	"strconv"
	"sync"
)

// responder is the least that can stand for a backend server: it reads an
// HTTP/1.1 request line by line and repeats the identities in its answer. What
// it costs is small beside the system's own work and is part of the figures.
type responder struct {
	listener net.Listener
	rows     []byte
	group    sync.WaitGroup
	// hold, when not nil, keeps all answers back until it is closed.
	hold chan struct{}
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

var repeated = [][]byte{[]byte("Query: "), []byte("Attempt: "), []byte("Shard: "), []byte("Snapshot: ")}

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
		if r.hold != nil {
			<-r.hold
		}
		out.WriteString("Content-Length: " + strconv.Itoa(len(r.rows)) + "\r\n\r\n")
		out.Write(r.rows)
		if _, err := c.Write(out.Bytes()); err != nil {
			return
		}
	}
}

// readRequest copies the lines to repeat and returns the length of the body.
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
		for _, p := range repeated {
			if bytes.HasPrefix(line, p) {
				out.Write(line)
			}
		}
	}
}
