package shuntowner

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// TestOddStatus checks that an answer whose status is none in HTTP counts as a broken
// connection, whatever it says of whether the sub-request has run.
func TestOddStatus(t *testing.T) {
	for _, code := range []string{"000", "099", "600", "999", "+20"} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			conn, buffer, err := http.NewResponseController(w).Hijack()
			if err != nil {
				panic(http.ErrAbortHandler)
			}
			defer func() { _ = conn.Close() }()
			fmt.Fprintf(buffer, "HTTP/1.1 %s Odd\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", code, HeaderNotRun, NotRunShed)
			_ = buffer.Flush()
		}))
		connector := HTTPConnector{Dial: func(ctx context.Context, address string) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, "tcp", address)
		}}
		c, err := connector.Connect(t.Context(), strings.TrimPrefix(server.URL, "http://"))
		if err != nil {
			t.Fatal(err)
		}
		if resp, err := c.Do(t.Context(), SubRequest{Deadline: time.Now().Add(time.Second)}); err == nil {
			t.Errorf("status %s: %+v; want an error", code, resp)
		}
		server.Close()
	}
}
