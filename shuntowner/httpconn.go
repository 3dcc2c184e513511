package shuntowner

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"mulberryshunt.example/mulberryshunt/shuntconfig"
	"mulberryshunt.example/mulberryshunt/shuntreply"
	"mulberryshunt.example/mulberryshunt/shuntsocket"
)

// Path, headers and header values of the HTTP interface of backend servers. A
// reply repeats the headers that identify its request.
const (
	BackendPath    = "/v1/run"
	HeaderDeadline = "Deadline-Milliseconds"
	// HeaderExpires is the deadline as wall-clock time, in milliseconds since
	// 1970, plus maxClockSkew. With HeaderDeadline alone, a server would run a
	// request too late if the VM was suspended between computing and sending it.
	HeaderExpires  = "Expires-Unix-Milliseconds"
	HeaderQuery    = "Query"
	HeaderAttempt  = "Attempt"
	HeaderShard    = "Shard"
	HeaderSnapshot = "Snapshot"
	HeaderStart    = "Start"
	HeaderNotRun   = "Not-Run"
	NotRunShed     = "Shed"
	NotRunSnapshot = "SnapshotGone"
	NotRunExpired  = "Expired"
	NotRunLeaving  = "Leaving"
	maxRowsBytes   = 4 << 20
	connReadBuffer = 4 << 10
	connectTimeout = 2 * time.Second
)

// HTTPConnector opens HTTP/1.1 connections. It does not use the connection pool of
// net/http, because the Dispatcher must count the connections exactly to stay
// within the maximum of the server.
type HTTPConnector struct {
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// Connect implements Connector.
func (h HTTPConnector) Connect(ctx context.Context, address string) (Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	c, err := h.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	w := &sentWriter{Conn: c}
	return &httpConn{
		conn:   w,
		reader: bufio.NewReaderSize(c, connReadBuffer),
		writer: bufio.NewWriterSize(w, connReadBuffer),
		url:    &url.URL{Scheme: "http", Host: address, Path: BackendPath},
	}, nil
}

// sentWriter records whether any bytes were passed to the network.
type sentWriter struct {
	net.Conn
	sent atomic.Bool
}

func (w *sentWriter) Write(p []byte) (int, error) {
	w.sent.Store(true)
	return w.Conn.Write(p)
}

// httpConn implements Conn over one HTTP/1.1 connection.
type httpConn struct {
	conn   *sentWriter
	reader *bufio.Reader
	writer *bufio.Writer
	url    *url.URL
}

// Alive implements Conn. It checks the socket without blocking. Unexpected data
// and end of file on an idle connection both mean that it cannot be used.
func (c *httpConn) Alive() bool {
	return c.reader.Buffered() == 0 && shuntsocket.Reusable(c.conn.Conn)
}

// Close implements Conn.
func (c *httpConn) Close() error { return c.conn.Close() }

// Do implements Conn. When ctx ends, the connection is closed during the read or
// write, which also tells the server to cancel the request.
func (c *httpConn) Do(ctx context.Context, r SubRequest) (Response, error) {
	if ctx.Err() != nil {
		return Response{}, &ConnError{Err: ctx.Err()}
	}
	c.conn.sent.Store(false)
	stop := context.AfterFunc(ctx, func() { _ = c.conn.Close() })
	defer stop()
	resp, err := c.exchange(r)
	if err == nil {
		return resp, nil
	}
	_ = c.conn.Close()
	return Response{}, &ConnError{Sent: c.conn.sent.Load(), Interrupted: ctx.Err() != nil, Err: err}
}

func (c *httpConn) exchange(r SubRequest) (Response, error) {
	req := &http.Request{
		Method:        http.MethodPost,
		URL:           c.url,
		Host:          c.url.Host,
		ProtoMajor:    1,
		ProtoMinor:    1,
		ContentLength: int64(len(r.Body)),
		Body:          io.NopCloser(bytes.NewReader(r.Body)),
		Header: http.Header{
			HeaderDeadline: {strconv.FormatInt(max(0, time.Until(r.Deadline).Milliseconds()), 10)},
			HeaderExpires:  {strconv.FormatInt(r.Deadline.Add(maxClockSkew).UnixMilli(), 10)},
			HeaderQuery:    {r.Query},
			HeaderAttempt:  {strconv.FormatUint(r.Attempt, 10)},
			HeaderShard:    {r.Shard},
			HeaderSnapshot: {r.Snapshot.String()},
		},
	}
	if err := req.Write(c.writer); err != nil {
		return Response{}, err
	}
	if err := c.writer.Flush(); err != nil {
		return Response{}, err
	}
	resp, err := shuntreply.Read(c.reader, req)
	if err != nil {
		return Response{}, err
	}
	defer resp.Body.Close()
	return readResponse(resp)
}

func readResponse(resp *http.Response) (Response, error) {
	if resp.ContentLength > maxRowsBytes {
		return Response{}, fmt.Errorf("reply body of %d bytes exceeds the limit of %d bytes", resp.ContentLength, maxRowsBytes)
	}
	rows, err := io.ReadAll(io.LimitReader(resp.Body, maxRowsBytes+1))
	if err != nil {
		return Response{}, err
	}
	if len(rows) > maxRowsBytes {
		return Response{}, fmt.Errorf("reply body exceeds the limit of %d bytes", maxRowsBytes)
	}
	out := Response{
		Status: responseStatus(resp),
		Start:  resp.Header.Get(HeaderStart),
		Query:  resp.Header.Get(HeaderQuery),
		Shard:  resp.Header.Get(HeaderShard),
		Rows:   rows,
	}
	// An attempt or snapshot that cannot be parsed remains zero, and the reply is
	// then rejected because it does not match the request.
	out.Attempt, _ = strconv.ParseUint(resp.Header.Get(HeaderAttempt), 10, 64)
	out.Snapshot, _ = shuntconfig.ParseSnapshotID(resp.Header.Get(HeaderSnapshot))
	return out, nil
}

func responseStatus(resp *http.Response) Status {
	switch resp.Header.Get(HeaderNotRun) {
	case NotRunShed:
		return StatusShed
	case NotRunSnapshot:
		return StatusSnapshotGone
	case NotRunExpired:
		return StatusExpired
	case NotRunLeaving:
		return StatusLeaving
	}
	if resp.StatusCode == http.StatusOK {
		return StatusDone
	}
	return StatusFault
}
