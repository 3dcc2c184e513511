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

// TestHeaderLimit: a request with too long a header is refused before it is
// handled.
func TestHeaderLimit(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	handled := false
	s := callerServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { handled = true }))
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
		t.Errorf("status %s, handled %t", resp.Status, handled)
	}
}

// TestSeparateListeners: callers can reach neither the operators' pages nor the
// calls of VMs, and a stranger with another key gets no call through.
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
			t.Errorf("callers' %s: %s; want %d", path, resp.Status, want)
		}
	}
	p := shuntpeer.NewPool(shuntpeer.PoolConfig{Key: []byte("another key of another fleet"), Dial: shuntpeer.DialTCP})
	defer p.Close()
	if err := p.Call(context.Background(), addresses[1], "Fleet.Beat", shuntpeer.Empty{}, &shuntpeer.Empty{}); err == nil {
		t.Error("a stranger's call went through")
	}
}
