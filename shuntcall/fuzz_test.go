package shuntcall

import (
	"bufio"
	"bytes"
	"net/http"
	"net/textproto"
	"testing"
	"time"

	"mulberryshunt.example/mulberryshunt/shuntroute"
	"mulberryshunt.example/mulberryshunt/shuntupstream"
)

// fuzzHeader returns the header fields that b holds, one a line.
func fuzzHeader(b []byte) (http.Header, bool) {
	h, err := textproto.NewReader(bufio.NewReader(bytes.NewReader(append(b, "\r\n\r\n"...)))).ReadMIMEHeader()
	return http.Header(h), err == nil
}

// FuzzDelegatedQuery checks that the headers of a delegated query are either an error or
// name shards that the route has.
func FuzzDelegatedQuery(f *testing.F) {
	f.Add([]byte("Shunt-Shards: 0,2\r\nShunt-Version: 7\r\nShunt-Need: 1\r\nShunt-Due-Ms: 50\r\nShunt-Fingerprint: a7"))
	f.Add([]byte("Shunt-Shards: 3\r\nShunt-Version: 7\r\nShunt-Need: 1\r\nShunt-Due-Ms: 50\r\nShunt-Fingerprint: a7"))
	f.Add([]byte("Shunt-Shards: -1,,"))
	route := &shuntroute.Route{Shards: []string{"a", "b", "c"}}
	f.Fuzz(func(t *testing.T, b []byte) {
		h, ok := fuzzHeader(b)
		if !ok {
			return
		}
		d, err := ReadDelegated(h)
		if err != nil {
			return
		}
		if s, ok := d.Subset(route, time.Time{}); ok && len(s.Shards) != len(d.ShardIndexes) {
			t.Errorf("%d shards for %v", len(s.Shards), d.ShardIndexes)
		}
	})
}

// FuzzDelegateReply checks that another VM's reply is never taken for more shards than it
// was asked for.
func FuzzDelegateReply(f *testing.F) {
	f.Add(200, []byte("Shunt-Signatures: a,b\r\nShunt-Work-Us: 7\r\nShunt-Middle-Us: 5\r\nShunt-In-Us: 6\r\nShunt-Attempts: 2"), []byte("0123456789abcdef"))
	f.Add(502, []byte("Shunt-Signatures: a"), []byte{})
	f.Add(200, []byte("Shunt-Signatures: a,b,c,d"), []byte{})
	const shards = 2
	f.Fuzz(func(t *testing.T, code int, header, body []byte) {
		h, ok := fuzzHeader(header)
		if !ok {
			return
		}
		r, _ := parseDelegateReply(shuntupstream.Outcome{Status: shuntupstream.Answered, Reply: shuntupstream.Reply{Code: code, Header: h, Body: body}}, "vm", shards)
		if r.shards != shards || len(r.signatures) > shards || (r.status == Served && code != http.StatusOK) {
			t.Errorf("got %+v", r)
		}
	})
}
