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

// Paths, headers and URL parameters of the platform's HTTP interface, and the
// limits that the client observes.
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
	maxConnections = 4
)

// Client is a Reader that uses the platform's HTTP interface.
type Client struct {
	baseURL string
	http    *http.Client
}

// NewClient returns a Client for the platform at address, which is host:port.
func NewClient(address string) *Client {
	t := &http.Transport{MaxConnsPerHost: maxConnections, MaxIdleConnsPerHost: maxConnections, IdleConnTimeout: time.Minute}
	return &Client{baseURL: "http://" + address, http: &http.Client{Transport: t}}
}

// Close closes the idle connections.
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

func decodeKeyVersions(wire []wireKeyVersion) []KeyVersion {
	out := make([]KeyVersion, len(wire))
	for i, k := range wire {
		out[i] = KeyVersion{shuntconfig.Key(k.Key), k.Version}
	}
	return out
}

// EncodeListing returns the JSON form of a Listing or a Change.
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
	return Listing{w.Revision, decodeKeyVersions(w.Keys)}, nil
}

// Watch implements Reader.
func (c *Client) Watch(ctx context.Context, revision int64) (Change, error) {
	params := url.Values{}
	params.Set(ParamRevision, strconv.FormatInt(revision, 10))
	params.Set(ParamWait, strconv.FormatInt(watchWait.Milliseconds(), 10))
	var w wireListing
	if err := c.getJSON(ctx, watchTimeout, PathWatch+"?"+params.Encode(), &w); err != nil {
		return Change{}, errors.Annotate(err, "watch keys")
	}
	return Change{w.Revision, decodeKeyVersions(w.Keys)}, nil
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
	resp, err := c.get(ctx, PathDocument+url.PathEscape(string(k)))
	if err != nil {
		return shuntconfig.Document{}, errors.Annotatef(err, "get %s", k)
	}
	defer resp.Body.Close()
	d := shuntconfig.Document{Key: k, Deleted: resp.Header.Get(HeaderDeleted) == "true"}
	if d.Version, err = strconv.ParseInt(resp.Header.Get(HeaderVersion), 10, 64); err != nil {
		return shuntconfig.Document{}, errors.Annotatef(err, "get %s: parse version header", k)
	}
	// Read one byte more than the limit, so that validation refuses a document
	// that is too long instead of accepting a truncated one.
	d.Body, err = io.ReadAll(io.LimitReader(resp.Body, shuntconfig.MaxDocumentBytes+1))
	return d, errors.Annotatef(err, "get %s", k)
}

func (c *Client) get(ctx context.Context, path string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.baseURL+path, nil)
	if err != nil {
		return nil, err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		resp.Body.Close()
		return nil, fmt.Errorf("platform returned status %s", resp.Status)
	}
	return resp, nil
}

func (c *Client) getJSON(ctx context.Context, timeout time.Duration, path string, out any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	resp, err := c.get(ctx, path)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return json.NewDecoder(io.LimitReader(resp.Body, maxListBytes)).Decode(out)
}
