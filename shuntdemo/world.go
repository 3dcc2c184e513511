// Package shuntdemo runs the whole system in one process on loopback: a
// stand-in platform, stand-in backend servers, the VMs of one user, and
// callers. The stand-ins count whether a promise was broken.
package shuntdemo

import (
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"

	"mulberryshunt.example/mulberryshunt/shuntconfig"
	"mulberryshunt.example/mulberryshunt/shuntdaemon"
	"mulberryshunt.example/mulberryshunt/shuntfake"
)

const (
	readyTime = 30 * time.Second
	readyPoll = 50 * time.Millisecond
)

// Deployment is everything that a demonstration runs.
type Deployment struct {
	*Standins
	Daemons []*shuntdaemon.Daemon
}

// NewDeployment starts the stand-ins and the VMs of an estate.
func NewDeployment(e shuntfake.Estate, seed uint64) (*Deployment, error) {
	s, err := StartStandins(StandinsConfig{Estate: e, Seed: seed, Listen: loopback})
	if err != nil {
		return nil, err
	}
	w := &Deployment{Standins: s}
	if err := w.startDaemons(); err != nil {
		return nil, err
	}
	return w, w.waitReady()
}

func (w *Deployment) startDaemons() error {
	as, err := freeAddresses(shuntfake.ListenersPerVM * w.Estate.VMs)
	if err != nil {
		return err
	}
	w.PublishFleet(w.Estate.Fleet(w.Estate.VMs, func(i int) string { return as[i] }))
	for _, v := range w.fleet.VMs {
		d, err := w.StartDaemon(v)
		if err != nil {
			return err
		}
		w.Daemons = append(w.Daemons, d)
	}
	return nil
}

// freeAddresses returns loopback addresses that were free a moment ago.
func freeAddresses(n int) ([]string, error) {
	out := make([]string, n)
	for i := range out {
		l, err := net.Listen("tcp", loopback)
		if err != nil {
			return nil, errors.Trace(err)
		}
		defer l.Close()
		out[i] = l.Addr().String()
	}
	return out, nil
}

// StartDaemon starts the daemon of a VM.
func (w *Deployment) StartDaemon(v shuntconfig.VM) (*shuntdaemon.Daemon, error) {
	d := shuntdaemon.New(shuntdaemon.Config{Settings: w.Settings(v)})
	return d, d.Start()
}

// waitReady waits until every VM serves and every backend server has an owner.
func (w *Deployment) waitReady() error {
	servers := slices.Collect(maps.Keys(w.Backends))
	end := time.Now().Add(readyTime)
	for time.Now().Before(end) {
		if shuntdaemon.AllReady(w.Daemons, servers) {
			return nil
		}
		time.Sleep(readyPoll)
	}
	return errors.New("the VMs did not become ready")
}

// CallerAddresses returns the callers' listeners of all VMs.
func (w *Deployment) CallerAddresses() []string {
	out := make([]string, len(w.fleet.VMs))
	for i, v := range w.fleet.VMs {
		out[i] = v.CallerAddress
	}
	return out
}

// Close ends everything.
func (w *Deployment) Close() {
	var g sync.WaitGroup
	for _, d := range w.Daemons {
		g.Go(d.Stop)
	}
	g.Wait()
	w.Standins.Close()
}
