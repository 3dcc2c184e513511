package shuntupstream

import (
	"bufio"
	"bytes"
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
	"k8s.io/klog/v2"

	"mulberryshunt.example/mulberryshunt/shuntgroup"
	"mulberryshunt.example/mulberryshunt/shuntmemory"
	"mulberryshunt.example/mulberryshunt/shuntreply"
	"mulberryshunt.example/mulberryshunt/shuntsocket"
)

const (
	readBufferBytes = 4 << 10
	// maxHeadBytes limits the head of a reply together with the interim replies
	// before it.
	maxHeadBytes = 64 << 10
	// maxReplyBytes limits the body of a reply, and maxFramingBytes the chunk sizes,
	// chunk extensions and trailers around it.
	maxReplyBytes   = 16 << 20
	maxFramingBytes = 1 << 20
	// largeBodyBytes is the size above which a request body is written
	// concurrently with reading the reply, because a server may reply before it
	// has read the whole body.
	largeBodyBytes = 2 << 10
	// maxMismatchedReplies is the number of replies to other requests that are
	// skipped while waiting for the reply to a request.
	maxMismatchedReplies = 2
)

// conn is a connection to a backend server. It carries one exchange at a time.
type conn struct {
	// id is unique in the pool.
	id    uint64
	net   net.Conn
	group *shuntgroup.Group
	// bound limits what reader reads from net for one reply.
	bound     *boundedReader
	reader    *bufio.Reader
	idleSince time.Time
	// idleTimeout is how long the server keeps the connection open when idle.
	idleTimeout time.Duration
	// unusable connections are closed instead of being returned to the pool.
	unusable bool
}

func newConn(c net.Conn, group *shuntgroup.Group, idleTimeout time.Duration) *conn {
	b := &boundedReader{reader: c}
	return &conn{net: c, group: group, bound: b, reader: bufio.NewReaderSize(b, readBufferBytes), idleTimeout: idleTimeout}
}

// alive checks the socket without blocking. An idle connection that has data to
// read, or that the server has closed, can't be used any more.
func (c *conn) alive() bool {
	return c.reader.Buffered() == 0 && shuntsocket.Reusable(c.net)
}

// exchange sends r and reads the reply. If ctx ends first, the connection is
// closed, which also lets the server stop its work.
func (c *conn) exchange(ctx context.Context, h Headers, instance string, r Request) Outcome {
	if err := ctx.Err(); err != nil {
		return Outcome{Status: NotSent, Err: err}
	}
	stop := context.AfterFunc(ctx, func() { _ = c.net.Close() })
	defer stop()
	reply, err := c.roundTrip(h, instance, r)
	switch {
	case err != nil && ctx.Err() != nil:
		c.unusable = true
		return Outcome{Status: Cancelled, Err: ctx.Err()}
	case err != nil:
		c.unusable = true
		return Outcome{Status: Broken, Err: err}
	}
	if ctx.Err() != nil {
		c.unusable = true
	}
	return Outcome{Status: classify(h, reply), Reply: reply}
}

// classify returns the status of an exchange that got a reply.
func classify(h Headers, r Reply) Status {
	switch {
	case r.Code == http.StatusMisdirectedRequest:
		return Misdirected
	case r.Header.Get(h.NotRun) != "":
		return Declined
	}
	return Answered
}

// roundTrip writes the request and reads the reply, and marks the connection as
// unusable if the request was not written in full by then.
func (c *conn) roundTrip(h Headers, instance string, r Request) (Reply, error) {
	header := encodeHeader(h, instance, r)
	written := make(chan error, 1)
	if len(r.Body) <= largeBodyBytes {
		written <- c.write(append(header, r.Body...))
		if err := <-written; err != nil {
			return Reply{}, errors.Trace(err)
		}
		written <- nil
	} else {
		// Not joined: a query has many exchanges, each of which would hold a copy.
		c.group.Go(func() { written <- c.write(header, r.Body) })
	}
	reply, err := c.readMatchingReply(h, r)
	if err != nil {
		return Reply{}, err
	}
	select {
	case err := <-written:
		c.unusable = c.unusable || err != nil
	default:
		// The reply came before the whole body was written.
		c.unusable = true
	}
	return reply, nil
}

func (c *conn) write(parts ...[]byte) error {
	for _, b := range parts {
		if _, err := c.net.Write(b); err != nil {
			return err
		}
	}
	return nil
}

// encodeHeader returns the request line and the header fields of r.
func encodeHeader(h Headers, instance string, r Request) []byte {
	var b bytes.Buffer
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	for name, values := range r.Header {
		for _, v := range values {
			b.WriteString(name + ": " + v + "\r\n")
		}
	}
	remaining := max(1, time.Until(r.Deadline).Milliseconds())
	b.WriteString(h.RequestID + ": " + r.ID + "\r\n")
	b.WriteString(h.Deadline + ": " + strconv.FormatInt(remaining, 10) + "\r\n")
	b.WriteString(h.Instance + ": " + instance + "\r\n")
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// readMatchingReply reads the reply to r and skips late replies to earlier
// requests.
func (c *conn) readMatchingReply(h Headers, r Request) (Reply, error) {
	for range maxMismatchedReplies + 1 {
		reply, err := c.readReply(r)
		if err != nil {
			return Reply{}, err
		}
		if reply.Header.Get(h.RequestID) == r.ID {
			return reply, nil
		}
		r.Held.Add(-reply.Held)
		c.unusable = true
	}
	return Reply{}, errors.New("the replies received are for other requests")
}

// readReply reads the next reply and skips informational (1xx) ones.
func (c *conn) readReply(r Request) (Reply, error) {
	c.bound.allowHead(r.Held)
	for {
		resp, err := shuntreply.Read(c.reader, &http.Request{Method: r.Method})
		if err != nil {
			r.Held.Add(-c.bound.allowBody())
			return Reply{}, err
		}
		if resp.StatusCode < 200 {
			continue
		}
		return c.readBody(resp, r.Held)
	}
}

// readBody reads the rest of a reply and decides whether the connection can be
// used again.
func (c *conn) readBody(resp *http.Response, held *shuntmemory.Holder) (Reply, error) {
	defer func() { _ = resp.Body.Close() }()
	head := c.bound.allowBody()
	body, err := shuntmemory.Read(resp.Body, shuntmemory.ReadConfig{Holder: held, Length: resp.ContentLength, MaxLength: maxReplyBytes})
	if err != nil {
		held.Add(-head)
	}
	switch {
	case errors.Is(err, shuntmemory.ErrShort):
		klog.InfoS("Replies in flight take too much memory; dropping one", "length", resp.ContentLength, "reason", err.Error())
		return Reply{}, errors.Annotate(ErrTooLong, err.Error())
	case errors.Is(err, shuntmemory.ErrTooLong):
		return Reply{}, errors.Annotate(ErrTooLong, err.Error())
	case err != nil:
		return Reply{}, errors.Trace(err)
	}
	if resp.Close || c.reader.Buffered() > 0 {
		c.unusable = true
	}
	c.idleTimeout = serverIdleTimeout(resp.Header, c.idleTimeout)
	return Reply{Code: resp.StatusCode, Header: resp.Header, Body: body, Held: head + int64(len(body))}, nil
}

// serverIdleTimeout returns the idle timeout, in whole seconds, that the server
// announces in the Keep-Alive header, or fallback if there is none.
func serverIdleTimeout(h http.Header, fallback time.Duration) time.Duration {
	for param := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(param), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if n, err := strconv.Atoi(strings.TrimSpace(value)); err == nil && n > 0 {
			return time.Duration(n) * time.Second
		}
	}
	return fallback
}
