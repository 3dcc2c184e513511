package shuntupstream

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	"mulberryshunt.example/mulberryshunt/shuntgroup"
	"mulberryshunt.example/mulberryshunt/shuntsocket"
)

const (
	readBuffer = 4 << 10
	// maxReplyBytes bounds the body of one reply.
	maxReplyBytes = 16 << 20
	// largeBody is from where on the body is written while the reply is read:
	// servers may answer before they have read it.
	largeBody = 2 << 10
	// maxForeign is how many replies to other requests are skipped on one
	// connection.
	maxForeign = 2
)

// conn is one connection to a backend server. It serves one exchange at a time.
type conn struct {
	net       net.Conn
	group     *shuntgroup.Group
	reader    *bufio.Reader
	idleSince time.Time
	// idleLimit is how long the server keeps the connection when idle.
	idleLimit time.Duration
	// spent connections are not used again.
	spent bool
}

func newConn(c net.Conn, group *shuntgroup.Group, idleLimit time.Duration) *conn {
	return &conn{net: c, group: group, reader: bufio.NewReaderSize(c, readBuffer), idleLimit: idleLimit}
}

// alive looks at the socket without waiting: bytes or an end on an idle
// connection both mean that it is of no further use.
func (c *conn) alive() bool {
	return c.reader.Buffered() == 0 && shuntsocket.Quiet(c.net)
}

// exchange sends r and reads its reply. When ctx ends, the connection is closed
// under it, which also tells the server to stop.
func (c *conn) exchange(ctx context.Context, h Headers, instance string, r Request) Outcome {
	if err := ctx.Err(); err != nil {
		return Outcome{Status: NotSent, Err: err}
	}
	stop := context.AfterFunc(ctx, func() { _ = c.net.Close() })
	defer stop()
	reply, err := c.roundTrip(h, instance, r)
	switch {
	case err != nil && ctx.Err() != nil:
		c.spent = true
		return Outcome{Status: Cancelled, Err: ctx.Err()}
	case err != nil:
		c.spent = true
		return Outcome{Status: Broken, Err: err}
	}
	if ctx.Err() != nil {
		c.spent = true
	}
	return Outcome{Status: classify(h, reply), Reply: reply}
}

func classify(h Headers, r Reply) Status {
	switch {
	case r.Code == http.StatusMisdirectedRequest:
		return Misdirected
	case r.Header.Get(h.NotRun) != "":
		return Declined
	}
	return Answered
}

func (c *conn) roundTrip(h Headers, instance string, r Request) (Reply, error) {
	head := encodeHead(h, instance, r)
	written := make(chan error, 1)
	if len(r.Body) <= largeBody {
		written <- c.write(append(head, r.Body...))
		if err := <-written; err != nil {
			return Reply{}, errors.Trace(err)
		}
		written <- nil
	} else {
		body := append(head, r.Body...)
		c.group.Go(func() { written <- c.write(body) })
	}
	reply, err := c.readOwn(h, r)
	if err != nil {
		return Reply{}, err
	}
	select {
	case err := <-written:
		c.spent = c.spent || err != nil
	default:
		// The reply came before the server had read the whole body.
		c.spent = true
	}
	return reply, nil
}

func (c *conn) write(b []byte) error {
	_, err := c.net.Write(b)
	return err
}

func encodeHead(h Headers, instance string, r Request) []byte {
	var b bytes.Buffer
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	for name, values := range r.Header {
		for _, v := range values {
			b.WriteString(name + ": " + v + "\r\n")
		}
	}
	left := max(1, time.Until(r.Deadline).Milliseconds())
	b.WriteString(h.RequestID + ": " + r.ID + "\r\n")
	b.WriteString(h.Deadline + ": " + strconv.FormatInt(left, 10) + "\r\n")
	b.WriteString(h.Instance + ": " + instance + "\r\n")
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// readOwn reads the reply to r, and skips late replies to other requests.
func (c *conn) readOwn(h Headers, r Request) (Reply, error) {
	for range maxForeign + 1 {
		reply, err := c.readReply(r.Method)
		if err != nil {
			return Reply{}, err
		}
		if reply.Header.Get(h.RequestID) == r.ID {
			return reply, nil
		}
		c.spent = true
	}
	return Reply{}, errors.New("the replies belong to other requests")
}

func (c *conn) readReply(method string) (Reply, error) {
	for {
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return Reply{}, errors.Trace(err)
		}
		if resp.StatusCode >= 100 && resp.StatusCode < 200 {
			continue
		}
		return c.readBody(resp)
	}
}

func (c *conn) readBody(resp *http.Response) (Reply, error) {
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes+1))
	if err != nil {
		return Reply{}, errors.Trace(err)
	}
	if len(body) > maxReplyBytes {
		return Reply{}, errors.Errorf("the reply is longer than %d bytes", maxReplyBytes)
	}
	if resp.Close || c.reader.Buffered() > 0 {
		c.spent = true
	}
	c.idleLimit = idleLimit(resp.Header, c.idleLimit)
	return Reply{Code: resp.StatusCode, Header: resp.Header, Body: body}, nil
}

// idleLimit reads the server's idle timeout, which it gives in whole seconds.
func idleLimit(h http.Header, before time.Duration) time.Duration {
	for p := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(p), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if n, err := strconv.Atoi(strings.TrimSpace(value)); err == nil && n > 0 {
			return time.Duration(n) * time.Second
		}
	}
	return before
}
