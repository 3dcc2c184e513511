// Package shuntreply reads replies of backend servers.
package shuntreply

import (
	"bufio"
	"net/http"

	"github.com/juju/errors"
)

// Read is http.ReadResponse, but fails if the reply has no status code of HTTP, since net/http
// takes any three characters that are a number. What has none is no reply, whatever its header
// says.
func Read(r *bufio.Reader, req *http.Request) (*http.Response, error) {
	resp, err := http.ReadResponse(r, req)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if resp.StatusCode < 100 || resp.StatusCode > 599 {
		return nil, errors.Errorf("%q is no status of HTTP", resp.Status)
	}
	return resp, nil
}
