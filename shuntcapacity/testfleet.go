package shuntcapacity

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"mulberryshunt.example/mulberryshunt/shuntconfig"
	"mulberryshunt.example/mulberryshunt/shuntdaemon"
	"mulberryshunt.example/mulberryshunt/shuntfake"
	"mulberryshunt.example/mulberryshunt/shuntowner"
	"mulberryshunt.example/mulberryshunt/shuntpeer"
)

const (
	workspace    = "wide"
	peerKey      = "measurement-key-of-one-process"
	zone         = "zone-1"
	readyTimeout = 30 * time.Second
	readyPoll    = 20 * time.Millisecond
	serverSlots  = 64
	serverConns  = 256
)

// shape is the size of one measured world.
type shape struct {
	vms, servers int
	// otherServers belong to a cell that does not run; they only add to the
	// configuration.
	otherServers int
}

// world is a fleet on loopback TCP, with one responder for all backend servers.
type world struct {
	shape     shape
	platform  *shuntfake.Platform
	responder *responder
	daemons   []*shuntdaemon.Daemon
	bytes     atomic.Int64
}

func newWorld(s shape, rows []byte) (*world, error) {
	r, err := newResponder(rows)
	if err != nil {
		return nil, err
	}
	w := &world{shape: s, platform: shuntfake.NewPlatform(), responder: r}
	w.publish()
	f, err := w.fleet()
	if err != nil {
		return nil, err
	}
	w.platform.Publish(shuntconfig.FleetKey, shuntconfig.EncodeFleet(f))
	for _, v := range f.VMs[:s.vms] {
		d := shuntdaemon.New(shuntdaemon.Config{
			Settings: shuntconfig.Settings{
				Name: v.Name, Zone: v.Zone, Cell: v.Cell, PeerKey: peerKey,
				CallerListen: v.CallerAddress, PeerListen: v.PeerAddress, OperatorListen: v.OperatorAddress,
			},
			Reader:    w.platform,
			Connector: shuntowner.HTTPConnector{Dial: shuntpeer.DialTCP},
			Dial:      w.dial,
		})
		if err := d.Start(); err != nil {
			return nil, err
		}
		w.daemons = append(w.daemons, d)
	}
	return w, w.waitReady()
}

// dial counts the bytes between VMs, both ways.
func (w *world) dial(ctx context.Context, address string) (net.Conn, error) {
	c, err := shuntpeer.DialTCP(ctx, address)
	if err != nil {
		return nil, err
	}
	return countedConn{c, &w.bytes}, nil
}

type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read implements net.Conn.
func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (w *world) publish() {
	var names []string
	for i := range w.shape.servers + w.shape.otherServers {
		name := fmt.Sprintf("s%04d", i)
		s := shuntconfig.Service{
			Name: name, Slots: serverSlots, Connections: serverConns, InitialSlots: serverSlots,
			WarmStepRequests: 1,
			Servers:          []shuntconfig.Server{{Name: "r0", Address: w.responder.address(), Zone: zone}},
			Snapshots: []shuntconfig.Snapshot{{
				ID:     shuntfake.FirstSnapshot,
				Shards: []shuntconfig.Shard{{Name: "all", Servers: []string{"r0"}}},
			}},
		}
		w.platform.Publish(shuntconfig.MakeKey(shuntconfig.KindService, name), shuntconfig.EncodeService(s))
		if i < w.shape.servers {
			names = append(names, fmt.Sprintf("%q", name))
		}
	}
	w.platform.Publish("Template/wide", []byte("[Parameters.Services]\nType = \"StringList\"\n[Settings]\nServices = \"${Services}\"\nDeadlineMilliseconds = 30000\nWaitForAll = true\nHedgeFraction = 0\nMaximumConcurrent = 100000\n"))
	w.platform.Publish("Workspace/"+workspace, []byte(fmt.Sprintf("Template = \"wide\"\n[Parameters]\nServices = [%s]\n", strings.Join(names, ", "))))
}

func (w *world) fleet() (shuntconfig.Fleet, error) {
	f := shuntconfig.Fleet{Zones: []shuntconfig.Zone{{Name: zone, Region: "region-1", InService: true}}}
	for i := range w.shape.vms {
		as, err := freeAddresses()
		if err != nil {
			return f, err
		}
		f.VMs = append(f.VMs, shuntconfig.VM{
			Name: fmt.Sprintf("vm-%02d", i), Zone: zone, Cell: "cell-1", InService: true,
			CallerAddress: as[0], PeerAddress: as[1], OperatorAddress: as[2],
		})
	}
	return f, nil
}

func freeAddresses() ([3]string, error) {
	var out [3]string
	for i := range out {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return out, err
		}
		defer l.Close()
		out[i] = l.Addr().String()
	}
	return out, nil
}

func (w *world) waitReady() error {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(readyPoll) {
		owned := 0
		for _, d := range w.daemons {
			if v := d.View(); v.AcceptsWork() {
				owned += v.OwnedCount()
			}
		}
		if owned == w.shape.servers+w.shape.otherServers {
			return nil
		}
	}
	return errors.New("the measured fleet did not become ready")
}

func (w *world) close() {
	var g sync.WaitGroup
	for _, d := range w.daemons {
		g.Go(d.Stop)
	}
	g.Wait()
	_ = w.responder.listener.Close()
}
