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
	loopback      = "127.0.0.1:0"
	demoKey       = "demonstration-key-of-one-process"
	standinHeader = time.Second
	demoTailShare = 0.005
)

// StandinsConfig is what Standins are made of.
type StandinsConfig struct {
	Estate shuntfake.Estate
	Seed   uint64
	// Listen is where the platform listens.
	Listen string
}

// Standins are a platform and the backend servers of an estate, on loopback.
type Standins struct {
	Estate   shuntfake.Estate
	Platform *shuntfake.Platform
	Log      *shuntfake.Log
	Backends map[string]*shuntfake.Backend
	// PlatformAddress is where the platform listens.
	PlatformAddress string

	services []shuntconfig.Service
	fleet    shuntconfig.Fleet
	servers  []*http.Server
	group    sync.WaitGroup
}

// StartStandins starts stand-ins and publishes all documents but the fleet's.
func StartStandins(c StandinsConfig) (*Standins, error) {
	s := &Standins{Estate: c.Estate, Platform: shuntfake.NewPlatform(), Log: shuntfake.NewLog(), Backends: map[string]*shuntfake.Backend{}}
	var err error
	platform := &http.Server{Handler: s.Platform.Handler(), ReadHeaderTimeout: standinHeader}
	if s.PlatformAddress, err = s.serve(platform, c.Listen); err != nil {
		return nil, err
	}
	return s, s.startBackends(c.Seed)
}

// serve serves v at listen and returns the address.
func (s *Standins) serve(v *http.Server, listen string) (string, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return "", errors.Trace(err)
	}
	s.servers = append(s.servers, v)
	s.group.Go(func() { _ = v.Serve(l) })
	return l.Addr().String(), nil
}

func (s *Standins) startBackends(seed uint64) error {
	// Addresses are known only once the servers listen, so the services are
	// made twice: with placeholders first.
	addresses := map[string]string{}
	for _, p := range shuntfake.ServerSpecs(s.Estate.Services(func(string) string { return loopback })) {
		seed++
		b := shuntfake.NewBackend(shuntfake.BackendConfig{
			Server:            p,
			Log:               s.Log,
			Seed:              seed,
			MedianServiceTime: s.Estate.WorkspaceOf(p.Service).ServiceTime,
			TailFraction:      demoTailShare,
		})
		b.SetSnapshots(shuntfake.FirstSnapshot)
		var err error
		if addresses[p.ID()], err = s.serve(b.HTTPServer(), loopback); err != nil {
			return err
		}
		s.Backends[p.ID()] = b
	}
	s.services = s.Estate.Services(func(id string) string { return addresses[id] })
	s.Estate.Publish(s.Platform, s.services)
	return nil
}

// Settings returns the settings of a VM of the fleet.
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
		PeerKey:         demoKey,
	}
}

// PublishFleet publishes a Fleet document and books which servers are out.
func (s *Standins) PublishFleet(f shuntconfig.Fleet) {
	s.fleet = f
	s.Log.SetZonesInService(f, s.Backends, time.Now())
	s.Platform.Publish(shuntconfig.FleetKey, shuntconfig.EncodeFleet(f))
}

// Fleet returns the fleet as published last.
func (s *Standins) Fleet() shuntconfig.Fleet { return s.fleet }

// PublishSnapshot loads a snapshot into all backend servers beside those that
// they hold, and publishes it with the shard map of the first one.
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

// Close ends the stand-ins.
func (s *Standins) Close() {
	for _, v := range s.servers {
		_ = v.Close()
	}
	s.group.Wait()
}
