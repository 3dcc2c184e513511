// Package shuntclient is a client of the system's HTTP interface for callers. It
// fetches the list of entry addresses, caches it for as long as the server
// permits, and sends its requests to these addresses. The command line, the load
// tool and the demonstration use it.
package shuntclient

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
	requestTimeout = 2 * time.Second
	// answerGrace is how long a client waits past its deadline. The system
	// answers by the deadline, so no answer by then means that the connection or
	// the VM was lost.
	answerGrace         = time.Second
	maxIdleConnsPerHost = 256
	idleConnTimeout     = 5 * time.Second
)

// Config configures a Client.
type Config struct {
	// Addresses are the caller addresses of some VMs, from which the client
	// fetches its first list of entries.
	Addresses []string
	// Zone and Region are those of the caller; both may be empty.
	Zone, Region string
}

// Client sends requests on behalf of callers. It is safe for concurrent use.
type Client struct {
	config Config
	http   *http.Client

	mu         sync.Mutex
	entries    shuntentry.WireEntries
	validUntil time.Time
	// entryIndex selects the next entry; see nextAddress.
	entryIndex int
}

// NewClient returns a Client.
func NewClient(c Config) *Client {
	t := &http.Transport{MaxIdleConnsPerHost: maxIdleConnsPerHost, IdleConnTimeout: idleConnTimeout}
	return &Client{config: c, http: &http.Client{Transport: t}}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Entries returns the addresses to send requests to. It fetches them if the cached
// ones have expired. If that fails, it returns the expired ones with the error.
func (c *Client) Entries(ctx context.Context) (shuntentry.WireEntries, error) {
	c.mu.Lock()
	entries, fresh := c.entries, time.Now().Before(c.validUntil)
	c.mu.Unlock()
	if fresh && len(entries.Entries) > 0 {
		return entries, nil
	}
	return c.refresh(ctx, entries)
}

// refresh fetches the entries from the first address that answers with some,
// trying the cached ones first.
func (c *Client) refresh(ctx context.Context, cached shuntentry.WireEntries) (shuntentry.WireEntries, error) {
	var addresses []string
	for _, e := range cached.Entries {
		addresses = append(addresses, e.Address)
	}
	addresses = append(addresses, c.config.Addresses...)
	err := errors.New("no address is configured")
	for _, address := range addresses {
		var entries shuntentry.WireEntries
		requestedAt := time.Now()
		if entries, err = c.fetchEntries(ctx, address); err != nil || len(entries.Entries) == 0 {
			continue
		}
		c.mu.Lock()
		c.entries = entries
		c.validUntil = requestedAt.Add(time.Duration(entries.MaxAgeMilliseconds) * time.Millisecond)
		c.mu.Unlock()
		return entries, nil
	}
	return cached, errors.Annotatef(err, "fetch entries from %v", addresses)
}

func (c *Client) fetchEntries(ctx context.Context, address string) (shuntentry.WireEntries, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	q := url.Values{"Zone": {c.config.Zone}, "Region": {c.config.Region}}
	var out shuntentry.WireEntries
	err := c.do(ctx, http.MethodGet, "http://"+address+shuntentry.PathEntries+"?"+q.Encode(), nil, nil, &out)
	return out, err
}

// nextAddress returns the entries' addresses in turn, which spreads the requests
// over the VMs.
func (c *Client) nextAddress(ctx context.Context) (string, error) {
	entries, err := c.Entries(ctx)
	if err != nil && len(entries.Entries) == 0 {
		return "", err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.entryIndex++
	return entries.Entries[c.entryIndex%len(entries.Entries)].Address, nil
}

// Query is a request to a workspace.
type Query struct {
	Workspace string
	// ID is the request ID; the VM chooses one if it is empty.
	ID      string
	Request shuntentry.Request
	// Deadline is the time allowed for the answer; 0 means that of the workspace.
	Deadline time.Duration
	// Address is the VM's caller address; empty means the next of the entries.
	Address string
}

// Answer is an answer with the address of the VM that sent it and the time until
// it arrived.
type Answer struct {
	shuntentry.WireAnswer
	Address string
	Latency time.Duration
}

// Query sends a request and returns its answer. After an error it is unknown
// whether the request ran.
func (c *Client) Query(ctx context.Context, q Query) (Answer, error) {
	address := q.Address
	if address == "" {
		var err error
		if address, err = c.nextAddress(ctx); err != nil {
			return Answer{}, err
		}
	}
	h := http.Header{}
	if q.ID != "" {
		h.Set(shuntentry.HeaderRequestID, q.ID)
	}
	if q.Deadline > 0 {
		h.Set(shuntentry.HeaderDeadline, strconv.FormatInt(q.Deadline.Milliseconds(), 10))
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, q.Deadline+answerGrace)
		defer cancel()
	}
	path := "/v1/workspaces/" + url.PathEscape(q.Workspace) + "/query"
	out := Answer{Address: address}
	began := time.Now()
	err := c.do(ctx, http.MethodPost, "http://"+address+path, h, shuntentry.EncodeRequest(q.Request), &out.WireAnswer)
	out.Latency = time.Since(began)
	return out, errors.Annotatef(err, "query workspace %s at %s", q.Workspace, address)
}

// FetchTickets requests n tickets from the VM at address, or from the next of the
// entries if address is empty.
func (c *Client) FetchTickets(ctx context.Context, address string, n int) ([]string, error) {
	if address == "" {
		var err error
		if address, err = c.nextAddress(ctx); err != nil {
			return nil, err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	var out shuntentry.WireTickets
	u := fmt.Sprintf("http://%s%s?Count=%d", address, shuntentry.PathTickets, n)
	err := c.do(ctx, http.MethodPost, u, nil, []byte{}, &out)
	return out.Tickets, errors.Annotatef(err, "fetch tickets from %s", address)
}

// do sends a request and decodes the JSON reply into the value that into points to.
func (c *Client) do(ctx context.Context, method, u string, h http.Header, body []byte, into any) error {
	// Without GetBody the transport can't send the body a second time. It must
	// not retry a request on its own, because the request may not be idempotent.
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
		return errors.Annotatef(err, "decode the reply with status %q", resp.Status)
	}
	return nil
}
