package shuntdaemon

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"mulberryshunt.example/mulberryshunt/shuntconfig"
	"mulberryshunt.example/mulberryshunt/shuntfake"
	"mulberryshunt.example/mulberryshunt/shuntpeer"
)

// TestHeaderLimit checks that a request whose header is too large is refused
// before it reaches the handler.
func TestHeaderLimit(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	handled := false
	s := newCallerServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { handled = true }))
	var g sync.WaitGroup
	g.Go(func() { _ = s.Serve(l) })
	defer g.Wait()
	defer s.Close()
	req, err := http.NewRequest(http.MethodGet, "http://"+l.Addr().String(), nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Long", strings.Repeat("x", 2*maxHeaderBytes))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusRequestHeaderFieldsTooLarge || handled {
		t.Errorf("response status %s, handler called: %t; want status 431 and no call", resp.Status, handled)
	}
}

// TestSeparateListeners checks that the callers' listener doesn't serve the
// operators' pages, and that a peer call with the wrong key fails.
func TestSeparateListeners(t *testing.T) {
	var addresses [3]string
	for i := range addresses {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		addresses[i] = l.Addr().String()
		_ = l.Close()
	}
	d := New(Config{Reader: shuntfake.NewPlatform(), Settings: shuntconfig.Settings{
		Name: "vm-1", Zone: "z", Cell: "c", PeerKey: "the right key of the fleet",
		CallerListen: addresses[0], PeerListen: addresses[1], OperatorListen: addresses[2],
	}})
	if err := d.Start(); err != nil {
		t.Fatal(err)
	}
	defer d.Stop()
	for path, want := range map[string]int{"/status": http.StatusNotFound, "/metrics": http.StatusNotFound, "/v1/entries": http.StatusOK} {
		resp, err := http.Get("http://" + addresses[0] + path)
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		if resp.StatusCode != want {
			t.Errorf("callers' listener, %s: status %s; want %d", path, resp.Status, want)
		}
	}
	p := shuntpeer.NewPool(shuntpeer.PoolConfig{Key: []byte("another key of another fleet"), Dial: shuntpeer.DialTCP})
	defer p.Close()
	if err := p.Call(context.Background(), addresses[1], "Fleet.Beat", shuntpeer.Empty{}, &shuntpeer.Empty{}); err == nil {
		t.Error("a peer call with the wrong key succeeded")
	}
}
