package shuntcapacity

import (
	"context"
	"net"
	"sync"

	"mulberryshunt.example/mulberryshunt/shuntpeer"
)

const measuredConnections = 200

// echo is the net/rpc receiver of the measured connections.
type echo struct{}

// Echo replies with its argument.
func (echo) Echo(in []byte, out *[]byte) error {
	*out = in
	return nil
}

// measureConnections returns the memory of one open connection between VMs, in
// bytes for both ends together.
func measureConnections() (float64, error) {
	ctx, cancel := context.WithCancel(context.Background())
	var g sync.WaitGroup
	defer g.Wait()
	defer cancel()
	var addresses []string
	for range measuredConnections {
		s, err := shuntpeer.NewServer(shuntpeer.ServerConfig{Key: []byte(peerKey), Receivers: map[string]any{"Echo": echo{}}})
		if err != nil {
			return 0, err
		}
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return 0, err
		}
		addresses = append(addresses, l.Addr().String())
		g.Go(func() { _ = s.Serve(ctx, l) })
	}
	pool := shuntpeer.NewPool(shuntpeer.PoolConfig{Key: []byte(peerKey), Dial: shuntpeer.DialTCP})
	defer pool.Close()
	before := memoryInUse()
	for _, a := range addresses {
		var out []byte
		if err := pool.Call(ctx, a, "Echo.Echo", make([]byte, 4096), &out); err != nil {
			return 0, err
		}
	}
	return (memoryInUse() - before) / measuredConnections, nil
}
