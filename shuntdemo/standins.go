package shuntdemo

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"

	"mulberryshunt.example/mulberryshunt/shuntconfig"
	"mulberryshunt.example/mulberryshunt/shuntfake"
)

const (
	anyLoopbackPort   = "127.0.0.1:0"
	peerKey           = "demonstration-key-of-one-process"
	readHeaderTimeout = time.Second
	tailFraction      = 0.005
)

// StandinsConfig configures Standins.
type StandinsConfig struct {
	Estate shuntfake.Estate
	Seed   uint64
	// Listen is the address on which the platform listens.
	Listen string
}

// Standins runs a stand-in platform and the stand-in backend servers of an estate
// on loopback.
type Standins struct {
	Estate   shuntfake.Estate
	Platform *shuntfake.Platform
	Log      *shuntfake.Log
	// Backends holds the backend servers by ID.
	Backends map[string]*shuntfake.Backend
	// PlatformAddress is the address on which the platform listens.
	PlatformAddress string

	services    []shuntconfig.Service
	fleet       shuntconfig.Fleet
	httpServers []*http.Server
	serving     sync.WaitGroup
}

// StartStandins starts the stand-ins and publishes all documents except the fleet.
func StartStandins(c StandinsConfig) (*Standins, error) {
	s := &Standins{Estate: c.Estate, Platform: shuntfake.NewPlatform(), Log: shuntfake.NewLog(), Backends: map[string]*shuntfake.Backend{}}
	var err error
	platform := &http.Server{Handler: s.Platform.Handler(), ReadHeaderTimeout: readHeaderTimeout}
	if s.PlatformAddress, err = s.serve(platform, c.Listen); err != nil {
		return nil, err
	}
	return s, s.startBackends(c.Seed)
}

// serve starts v on the address listen and returns the actual address, which has
// the chosen port.
func (s *Standins) serve(v *http.Server, listen string) (string, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return "", errors.Trace(err)
	}
	s.httpServers = append(s.httpServers, v)
	s.serving.Go(func() { _ = v.Serve(l) })
	return l.Addr().String(), nil
}

func (s *Standins) startBackends(seed uint64) error {
	// The addresses are known only once the servers listen, so the services are
	// generated twice, the first time with a placeholder address.
	addresses := map[string]string{}
	for _, p := range shuntfake.ServerSpecs(s.Estate.Services(func(string) string { return anyLoopbackPort })) {
		seed++
		b := shuntfake.NewBackend(shuntfake.BackendConfig{
			Server:            p,
			Log:               s.Log,
			Seed:              seed,
			MedianServiceTime: s.Estate.WorkspaceOf(p.Service).ServiceTime,
			TailFraction:      tailFraction,
		})
		b.SetSnapshots(shuntfake.FirstSnapshot)
		var err error
		if addresses[p.ID()], err = s.serve(b.HTTPServer(), anyLoopbackPort); err != nil {
			return err
		}
		s.Backends[p.ID()] = b
	}
	s.services = s.Estate.Services(func(id string) string { return addresses[id] })
	s.Estate.Publish(s.Platform, s.services)
	return nil
}

// Settings returns the daemon settings of a VM of the fleet.
func (s *Standins) Settings(v shuntconfig.VM) shuntconfig.Settings {
	return shuntconfig.Settings{
		Name:            v.Name,
		Zone:            v.Zone,
		Cell:            v.Cell,
		CallerListen:    v.CallerAddress,
		PeerListen:      v.PeerAddress,
		OperatorListen:  v.OperatorAddress,
		PlatformAddress: s.PlatformAddress,
		PeerAddresses:   s.fleet.PeerAddresses(v.Name),
		PeerKey:         peerKey,
	}
}

// PublishFleet publishes the fleet document and records in the log which backend
// servers are out of service.
func (s *Standins) PublishFleet(f shuntconfig.Fleet) {
	s.fleet = f
	s.Log.SetZonesInService(f, s.Backends, time.Now())
	s.Platform.Publish(shuntconfig.FleetKey, shuntconfig.EncodeFleet(f))
}

// Fleet returns the fleet that was published last.
func (s *Standins) Fleet() shuntconfig.Fleet { return s.fleet }

// PublishSnapshot makes all backend servers hold exactly the snapshots id and old,
// and publishes them in that order. Each gets the shards of the service's first
// snapshot.
func (s *Standins) PublishSnapshot(id shuntconfig.SnapshotID, old ...shuntconfig.SnapshotID) {
	for _, b := range s.Backends {
		b.SetSnapshots(append([]shuntconfig.SnapshotID{id}, old...)...)
	}
	for i, v := range s.services {
		shards := v.Snapshots[0].Shards
		ss := []shuntconfig.Snapshot{{ID: id, Shards: shards}}
		for _, o := range old {
			ss = append(ss, shuntconfig.Snapshot{ID: o, Shards: shards})
		}
		s.services[i] = v.WithSnapshots(ss...)
		s.Platform.Publish(shuntconfig.MakeKey(shuntconfig.KindService, v.Name), shuntconfig.EncodeService(s.services[i]))
	}
}

// Close stops the stand-ins.
func (s *Standins) Close() {
	for _, v := range s.httpServers {
		_ = v.Close()
	}
	s.serving.Wait()
}
