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
	workspace         = "wide"
	peerKey           = "measurement-key-of-one-process"
	zone              = "zone-1"
	readyTimeout      = 30 * time.Second
	readyPollInterval = 20 * time.Millisecond
	serverSlots       = 64
	serverConns       = 256
)

// testFleetSize is the size of a measured fleet.
type testFleetSize struct {
	vms, servers int
	// otherServers is the number of backend servers in a cell that isn't running.
	// They only enlarge the configuration.
	otherServers int
}

// testFleet is a fleet on loopback TCP with one responder for all backend servers.
type testFleet struct {
	size      testFleetSize
	platform  *shuntfake.Platform
	responder *responder
	daemons   []*shuntdaemon.Daemon
	// peerBytes counts the bytes sent and received between VMs.
	peerBytes atomic.Int64
}

func newTestFleet(s testFleetSize, rows []byte) (*testFleet, error) {
	r, err := newResponder(rows)
	if err != nil {
		return nil, err
	}
	tf := &testFleet{size: s, platform: shuntfake.NewPlatform(), responder: r}
	tf.publishDocuments()
	f, err := tf.newFleet()
	if err != nil {
		return nil, err
	}
	tf.platform.Publish(shuntconfig.FleetKey, shuntconfig.EncodeFleet(f))
	for _, v := range f.VMs[:s.vms] {
		d := shuntdaemon.New(shuntdaemon.Config{
			Settings: shuntconfig.Settings{
				Name: v.Name, Zone: v.Zone, Cell: v.Cell, PeerKey: peerKey,
				CallerListen: v.CallerAddress, PeerListen: v.PeerAddress, OperatorListen: v.OperatorAddress,
			},
			Reader:    tf.platform,
			Connector: shuntowner.HTTPConnector{Dial: shuntpeer.DialTCP},
			Dial:      tf.dial,
		})
		if err := d.Start(); err != nil {
			return nil, err
		}
		tf.daemons = append(tf.daemons, d)
	}
	return tf, tf.waitReady()
}

// dial opens a connection to another VM and counts the bytes in both directions.
func (tf *testFleet) dial(ctx context.Context, address string) (net.Conn, error) {
	c, err := shuntpeer.DialTCP(ctx, address)
	if err != nil {
		return nil, err
	}
	return countingConn{c, &tf.peerBytes}, nil
}

// countingConn is a net.Conn that counts the bytes sent and received.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read implements net.Conn.
func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (tf *testFleet) publishDocuments() {
	var names []string
	for i := range tf.size.servers + tf.size.otherServers {
		name := fmt.Sprintf("s%04d", i)
		s := shuntconfig.Service{
			Name: name, Slots: serverSlots, Connections: serverConns, InitialSlots: serverSlots,
			WarmStepRequests: 1,
			Servers:          []shuntconfig.Server{{Name: "r0", Address: tf.responder.address(), Zone: zone}},
			Snapshots: []shuntconfig.Snapshot{{
				ID:     shuntfake.FirstSnapshot,
				Shards: []shuntconfig.Shard{{Name: "all", Servers: []string{"r0"}}},
			}},
		}
		tf.platform.Publish(shuntconfig.MakeKey(shuntconfig.KindService, name), shuntconfig.EncodeService(s))
		if i < tf.size.servers {
			names = append(names, fmt.Sprintf("%q", name))
		}
	}
	tf.platform.Publish("Template/wide", []byte("[Parameters.Services]\nType = \"StringList\"\n[Settings]\nServices = \"${Services}\"\nDeadlineMilliseconds = 30000\nWaitForAll = true\nHedgeFraction = 0\nMaximumConcurrent = 100000\n"))
	tf.platform.Publish("Workspace/"+workspace, []byte(fmt.Sprintf("Template = \"wide\"\n[Parameters]\nServices = [%s]\n", strings.Join(names, ", "))))
}

func (tf *testFleet) newFleet() (shuntconfig.Fleet, error) {
	f := shuntconfig.Fleet{Zones: []shuntconfig.Zone{{Name: zone, Region: "region-1", InService: true}}}
	for i := range tf.size.vms {
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

// freeAddresses returns loopback addresses that are free at the time of the call.
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

func (tf *testFleet) waitReady() error {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(readyPollInterval) {
		owned := 0
		for _, d := range tf.daemons {
			if v := d.View(); v.AcceptsWork() {
				owned += v.OwnedCount()
			}
		}
		if owned == tf.size.servers+tf.size.otherServers {
			return nil
		}
	}
	return errors.New("the measured fleet did not become ready in time")
}

func (tf *testFleet) close() {
	var g sync.WaitGroup
	for _, d := range tf.daemons {
		g.Go(d.Stop)
	}
	g.Wait()
	_ = tf.responder.listener.Close()
}
