package shuntplatform

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/juju/errors"

	"mulberryshunt.example/mulberryshunt/shuntconfig"
)

// Paths and headers of the platform's HTTP interface.
const (
	PathKeys       = "/v1/keys"
	PathDocument   = "/v1/keys/"
	PathWatch      = "/v1/watch"
	PathVMs        = "/v1/vms"
	HeaderVersion  = "Version"
	HeaderDeleted  = "Deleted"
	ParamRevision  = "Revision"
	ParamWait      = "WaitMilliseconds"
	maxListBytes   = 16 << 20
	callTimeout    = 5 * time.Second
	watchWait      = 30 * time.Second
	watchTimeout   = watchWait + callTimeout
	connectionsMax = 4
)

// Client reads the platform over HTTP.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a Client for the platform at host:port.
func NewClient(address string) *Client {
	t := &http.Transport{MaxConnsPerHost: connectionsMax, MaxIdleConnsPerHost: connectionsMax, IdleConnTimeout: time.Minute}
	return &Client{base: "http://" + address, http: &http.Client{Transport: t}}
}

// Close drops idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

type wireKeyVersion struct {
	Key     string
	Version int64
}

type wireListing struct {
	Revision int64
	Keys     []wireKeyVersion
}

type wireVM struct {
	Name  string
	State string
}

func fromWire(w []wireKeyVersion) []KeyVersion {
	out := make([]KeyVersion, len(w))
	for i, k := range w {
		out[i] = KeyVersion{shuntconfig.Key(k.Key), k.Version}
	}
	return out
}

// EncodeListing returns the JSON form of a listing or a change.
func EncodeListing(revision int64, keys []KeyVersion) ([]byte, error) {
	w := wireListing{Revision: revision, Keys: make([]wireKeyVersion, len(keys))}
	for i, k := range keys {
		w.Keys[i] = wireKeyVersion{string(k.Key), k.Version}
	}
	return json.Marshal(w)
}

// EncodeVMs returns the JSON form of the VM list.
func EncodeVMs(vms []VMStatus) ([]byte, error) {
	w := make([]wireVM, len(vms))
	for i, v := range vms {
		w[i] = wireVM{v.Name, string(v.State)}
	}
	return json.Marshal(w)
}

// List implements Reader.
func (c *Client) List(ctx context.Context) (Listing, error) {
	var w wireListing
	if err := c.getJSON(ctx, callTimeout, PathKeys, &w); err != nil {
		return Listing{}, errors.Annotate(err, "list keys")
	}
	return Listing{w.Revision, fromWire(w.Keys)}, nil
}

// Watch implements Reader.
func (c *Client) Watch(ctx context.Context, revision int64) (Change, error) {
	q := url.Values{}
	q.Set(ParamRevision, strconv.FormatInt(revision, 10))
	q.Set(ParamWait, strconv.FormatInt(watchWait.Milliseconds(), 10))
	var w wireListing
	if err := c.getJSON(ctx, watchTimeout, PathWatch+"?"+q.Encode(), &w); err != nil {
		return Change{}, errors.Annotate(err, "watch keys")
	}
	return Change{w.Revision, fromWire(w.Keys)}, nil
}

// VMs implements Reader.
func (c *Client) VMs(ctx context.Context) ([]VMStatus, error) {
	var w []wireVM
	if err := c.getJSON(ctx, callTimeout, PathVMs, &w); err != nil {
		return nil, errors.Annotate(err, "list VMs")
	}
	out := make([]VMStatus, len(w))
	for i, v := range w {
		out[i] = VMStatus{v.Name, VMState(v.State)}
	}
	return out, nil
}

// Get implements Reader.
func (c *Client) Get(ctx context.Context, k shuntconfig.Key) (shuntconfig.Document, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	resp, err := c.do(ctx, PathDocument+url.PathEscape(string(k)))
	if err != nil {
		return shuntconfig.Document{}, errors.Annotatef(err, "get %s", k)
	}
	defer resp.Body.Close()
	d := shuntconfig.Document{Key: k, Deleted: resp.Header.Get(HeaderDeleted) == "true"}
	if d.Version, err = strconv.ParseInt(resp.Header.Get(HeaderVersion), 10, 64); err != nil {
		return shuntconfig.Document{}, errors.Annotatef(err, "get %s: version", k)
	}
	// One byte past the limit is kept, so that the check sees a document that is too long.
	d.Body, err = io.ReadAll(io.LimitReader(resp.Body, shuntconfig.MaxDocumentBytes+1))
	return d, errors.Annotatef(err, "get %s", k)
}

func (c *Client) do(ctx context.Context, path string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+path, nil)
	if err != nil {
		return nil, err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		resp.Body.Close()
		return nil, fmt.Errorf("platform answered %s", resp.Status)
	}
	return resp, nil
}

func (c *Client) getJSON(ctx context.Context, limit time.Duration, path string, into any) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	resp, err := c.do(ctx, path)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return json.NewDecoder(io.LimitReader(resp.Body, maxListBytes)).Decode(into)
}
