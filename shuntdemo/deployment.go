// Package shuntdemo runs the whole system in one process on loopback: a stand-in
// platform, stand-in backend servers, the VMs of one user, and callers. The
// stand-ins count violations of the system's guarantees.
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
	readyTimeout      = 30 * time.Second
	readyPollInterval = 50 * time.Millisecond
)

// Deployment holds the stand-ins and the VM daemons of a demonstration.
type Deployment struct {
	*Standins
	Daemons []*shuntdaemon.Daemon
}

// NewDeployment starts the stand-ins and the VMs of an estate, and waits until
// they are ready.
func NewDeployment(e shuntfake.Estate, seed uint64) (*Deployment, error) {
	s, err := StartStandins(StandinsConfig{Estate: e, Seed: seed, Listen: anyLoopbackPort})
	if err != nil {
		return nil, err
	}
	dep := &Deployment{Standins: s}
	if err := dep.startDaemons(); err != nil {
		return nil, err
	}
	return dep, dep.waitReady()
}

func (dep *Deployment) startDaemons() error {
	addresses, err := freeAddresses(shuntfake.ListenersPerVM * dep.Estate.VMs)
	if err != nil {
		return err
	}
	dep.PublishFleet(dep.Estate.Fleet(dep.Estate.VMs, func(i int) string { return addresses[i] }))
	for _, v := range dep.fleet.VMs {
		d, err := dep.StartDaemon(v)
		if err != nil {
			return err
		}
		dep.Daemons = append(dep.Daemons, d)
	}
	return nil
}

// freeAddresses returns n loopback addresses with free ports. Another process may
// take a port before it is used.
func freeAddresses(n int) ([]string, error) {
	out := make([]string, n)
	for i := range out {
		l, err := net.Listen("tcp", anyLoopbackPort)
		if err != nil {
			return nil, errors.Trace(err)
		}
		defer l.Close()
		out[i] = l.Addr().String()
	}
	return out, nil
}

// StartDaemon starts the daemon of a VM.
func (dep *Deployment) StartDaemon(v shuntconfig.VM) (*shuntdaemon.Daemon, error) {
	d := shuntdaemon.New(shuntdaemon.Config{Settings: dep.Settings(v)})
	return d, d.Start()
}

// waitReady waits until every VM is ready and every backend server has an owner.
func (dep *Deployment) waitReady() error {
	servers := slices.Collect(maps.Keys(dep.Backends))
	deadline := time.Now().Add(readyTimeout)
	for time.Now().Before(deadline) {
		if shuntdaemon.AllReady(dep.Daemons, servers) {
			return nil
		}
		time.Sleep(readyPollInterval)
	}
	return errors.New("timed out waiting for the VMs to become ready")
}

// CallerAddresses returns the addresses on which the VMs listen for callers.
func (dep *Deployment) CallerAddresses() []string {
	out := make([]string, len(dep.fleet.VMs))
	for i, v := range dep.fleet.VMs {
		out[i] = v.CallerAddress
	}
	return out
}

// Close stops the VMs and then the stand-ins.
func (dep *Deployment) Close() {
	var g sync.WaitGroup
	for _, d := range dep.Daemons {
		g.Go(d.Stop)
	}
	g.Wait()
	dep.Standins.Close()
}
