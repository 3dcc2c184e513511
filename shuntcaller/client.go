// Package shuntcaller is a caller of the system: it asks which addresses to
// use, keeps the answer for as long as it may, and connects there itself. The
// command line, the load tool and the demonstration use it.
package shuntcaller

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/juju/errors"

	"mulberryshunt.example/mulberryshunt/shuntentry"
)

const (
	maxAnswerBytes = 64 << 20
	listTimeout    = 2 * time.Second
	// answerGrace is what a caller waits past its deadline: the answer on
	// time is the system's duty, and a lost connection shows here.
	answerGrace    = time.Second
	idleConns      = 256
	callerIdleTime = 5 * time.Second
)

// Config is what a Client is made of.
type Config struct {
	// Addresses are callers' listeners to ask first.
	Addresses []string
	// Zone and Region are the caller's own; both may be empty.
	Zone, Region string
}

// Client is one caller. It may be used by several goroutines.
type Client struct {
	config Config
	http   *http.Client

	mu      sync.Mutex
	entries shuntentry.WireEntries
	until   time.Time
	next    int
}

// NewClient returns a Client.
func NewClient(c Config) *Client {
	t := &http.Transport{MaxIdleConnsPerHost: idleConns, IdleConnTimeout: callerIdleTime}
	return &Client{config: c, http: &http.Client{Transport: t}}
}

// Close drops idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Entries returns the addresses to use, asking for them when those at hand are
// too old.
func (c *Client) Entries(ctx context.Context) (shuntentry.WireEntries, error) {
	c.mu.Lock()
	es, fresh := c.entries, time.Now().Before(c.until)
	c.mu.Unlock()
	if fresh && len(es.Entries) > 0 {
		return es, nil
	}
	return c.refresh(ctx, es)
}

func (c *Client) refresh(ctx context.Context, old shuntentry.WireEntries) (shuntentry.WireEntries, error) {
	var ask []string
	for _, e := range old.Entries {
		ask = append(ask, e.Address)
	}
	ask = append(ask, c.config.Addresses...)
	err := errors.New("no address to ask")
	for _, a := range ask {
		var es shuntentry.WireEntries
		asked := time.Now()
		if es, err = c.list(ctx, a); err != nil || len(es.Entries) == 0 {
			continue
		}
		c.mu.Lock()
		c.entries = es
		c.until = asked.Add(time.Duration(es.MaxAgeMilliseconds) * time.Millisecond)
		c.mu.Unlock()
		return es, nil
	}
	return old, errors.Annotatef(err, "ask %v which addresses to use", ask)
}

func (c *Client) list(ctx context.Context, address string) (shuntentry.WireEntries, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	q := url.Values{"Zone": {c.config.Zone}, "Region": {c.config.Region}}
	var out shuntentry.WireEntries
	err := c.do(ctx, http.MethodGet, "http://"+address+shuntentry.PathEntries+"?"+q.Encode(), nil, nil, &out)
	return out, err
}

// pick returns the addresses in turn, so that callers spread over the VMs.
func (c *Client) pick(ctx context.Context) (string, error) {
	es, err := c.Entries(ctx)
	if err != nil && len(es.Entries) == 0 {
		return "", err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next++
	return es.Entries[c.next%len(es.Entries)].Address, nil
}

// Query is one request of a caller.
type Query struct {
	Workspace string
	ID        string
	Request   shuntentry.Request
	Deadline  time.Duration
	// Address is the VM to ask; "" takes the next of the entries.
	Address string
}

// Answer is an answer with the VM that gave it.
type Answer struct {
	shuntentry.WireAnswer
	Address string
	Latency time.Duration
}

// Query sends a request and returns its answer. An error means that no answer
// came; the request may have run.
func (c *Client) Query(ctx context.Context, a Query) (Answer, error) {
	address := a.Address
	if address == "" {
		var err error
		if address, err = c.pick(ctx); err != nil {
			return Answer{}, err
		}
	}
	h := http.Header{}
	if a.ID != "" {
		h.Set(shuntentry.HeaderRequestID, a.ID)
	}
	if a.Deadline > 0 {
		h.Set(shuntentry.HeaderDeadline, strconv.FormatInt(a.Deadline.Milliseconds(), 10))
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, a.Deadline+answerGrace)
		defer cancel()
	}
	path := "/v1/workspaces/" + url.PathEscape(a.Workspace) + "/query"
	out := Answer{Address: address}
	began := time.Now()
	err := c.do(ctx, http.MethodPost, "http://"+address+path, h, shuntentry.EncodeRequest(a.Request), &out.WireAnswer)
	out.Latency = time.Since(began)
	return out, errors.Annotatef(err, "query workspace %s at %s", a.Workspace, address)
}

// FetchTickets returns n tickets of the VM at address, or of one of the entries.
func (c *Client) FetchTickets(ctx context.Context, address string, n int) ([]string, error) {
	if address == "" {
		var err error
		if address, err = c.pick(ctx); err != nil {
			return nil, err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	var out shuntentry.WireTickets
	u := fmt.Sprintf("http://%s%s?Count=%d", address, shuntentry.PathTickets, n)
	err := c.do(ctx, http.MethodPost, u, nil, []byte{}, &out)
	return out.Tickets, errors.Annotatef(err, "tickets of %s", address)
}

func (c *Client) do(ctx context.Context, method, u string, h http.Header, body []byte, into any) error {
	// Without GetBody the transport never sends the body a second time: a
	// request that was sent must not be sent again behind the caller's back.
	req, err := http.NewRequestWithContext(ctx, method, u, bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.GetBody = nil
	for k, v := range h {
		req.Header[k] = v
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return err
	}
	if err := json.Unmarshal(b, into); err != nil {
		return errors.Annotatef(err, "answer %s", resp.Status)
	}
	return nil
}
