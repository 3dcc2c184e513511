package shuntrouter

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/juju/errors"
	"k8s.io/klog/v2"

	"mulberryshunt.example/mulberryshunt/shuntcall"
	"mulberryshunt.example/mulberryshunt/shuntmember"
	"mulberryshunt.example/mulberryshunt/shuntmemory"
	"mulberryshunt.example/mulberryshunt/shuntroute"
)

const (
	// shardPortOffset is added to the port of the peer address to give the port
	// for delegated queries.
	shardPortOffset = 1
	// peerIdleTimeout is how long a connection from another VM may be idle.
	peerIdleTimeout = 30 * time.Second
)

// shardAddress returns the address for delegated queries of the VM with the peer
// address.
func shardAddress(peer netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(peer.Addr(), peer.Port()+shardPortOffset)
}

// fleet implements shuntcall.Fleet.
type fleet struct {
	*shuntmember.Node
	regionByZone map[string]string
}

// Delegates implements shuntcall.Fleet.
func (f fleet) Delegates() []shuntcall.Delegate { return f.delegates(f.Snapshot().OtherEntries()) }

// Helpers implements shuntcall.Fleet.
func (f fleet) Helpers() []shuntcall.Delegate { return f.delegates(f.Snapshot().Helpers()) }

func (f fleet) delegates(vms []shuntmember.Report) []shuntcall.Delegate {
	var out []shuntcall.Delegate
	for _, m := range vms {
		out = append(out, f.delegate(m))
	}
	return out
}

func (f fleet) delegate(m shuntmember.Report) shuntcall.Delegate {
	return shuntcall.Delegate{Address: shardAddress(m.Address).String(), Region: f.regionByZone[m.Zone], Zone: m.Zone, Cores: cores(m.Capacity)}
}

// InCharge implements shuntcall.Fleet.
func (f fleet) InCharge(fingerprint uint64, regions []string) (vm shuntcall.Delegate, self, ok bool) {
	m, self, ok := f.Snapshot().InChargeOfSuspect(fingerprint, regions)
	return f.delegate(m), self, ok
}

// OthersLostLinks implements shuntcall.Fleet.
func (f fleet) OthersLostLinks() bool { return f.Snapshot().OthersLostLinks() }

// cores converts a capacity in thousandths of a core.
func cores(capacity uint32) float64 { return float64(capacity) / 1000 }

// listenDelegated serves delegated queries from other VMs until ctx ends. If it
// can't listen, the other VMs query the shards themselves.
func (r *Router) listenDelegated(ctx context.Context) {
	address := shardAddress(r.config.Settings.PeerAddress)
	l, err := net.Listen("tcp4", address.String())
	if err != nil {
		klog.InfoS("Failed to listen for delegated queries", "address", address, "reason", err.Error())
		return
	}
	server := &http.Server{Handler: http.HandlerFunc(r.serveDelegated), IdleTimeout: peerIdleTimeout, ReadHeaderTimeout: defaultHeaderTimeout, MaxHeaderBytes: maxHeaderBytes}
	r.peerServer.Store(server)
	context.AfterFunc(ctx, func() { _ = server.Close() })
	r.config.Group.Go(func() {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			klog.InfoS("Listener for delegated queries stopped", "address", address, "reason", err.Error())
		}
	})
}

// StopServingPeers stops accepting requests from other VMs and waits until those under way
// have ended, or ctx has.
func (r *Router) StopServingPeers(ctx context.Context) error {
	if server := r.peerServer.Load(); server != nil {
		return errors.Trace(server.Shutdown(ctx))
	}
	return nil
}

// routeForPeer returns the route of a request from another VM. If this VM can't serve it,
// it declines and returns false.
func (r *Router) routeForPeer(w http.ResponseWriter, in *http.Request, id string, table *shuntroute.Table) (*shuntroute.Route, bool) {
	if r.caller.LinksLost() {
		r.decline(w, id, reasonLinksLost)
		return nil, false
	}
	route, ok := table.Match(in.Host, in.URL.Path)
	if !ok {
		r.decline(w, id, "no route")
	}
	return route, ok
}

// serveDelegated queries some of a query's shards for another VM, or serves a whole request
// for it. It declines shards if the two VMs have different versions of the routing table,
// because one reply must not combine shards of different versions.
func (r *Router) serveDelegated(w http.ResponseWriter, in *http.Request) {
	start := time.Now()
	id := in.Header.Get(r.config.Headers.Upstream.RequestID)
	w.Header().Set(r.config.Headers.Upstream.RequestID, id)
	if shuntcall.IsRelayed(in.Header) {
		r.serveRelayed(w, in, id, start)
		return
	}
	d, err := shuntcall.ReadDelegated(in.Header)
	if err != nil {
		r.decline(w, id, err.Error())
		return
	}
	table := r.follower.View().Table
	if r.leaving.Load() || table == nil || table.Version() != d.Version {
		r.decline(w, id, "this VM ends or goes by other routes")
		return
	}
	route, ok := r.routeForPeer(w, in, id, table)
	if !ok {
		return
	}
	subset, ok := d.Subset(route, start)
	if !ok {
		r.decline(w, id, "no such shards")
		return
	}
	held := r.memory.Open()
	defer held.Close()
	body, err := shuntmemory.Read(in.Body, shuntmemory.ReadConfig{Holder: held, Length: in.ContentLength, MaxLength: maxBody(table)})
	if err != nil {
		r.decline(w, id, err.Error())
		return
	}
	if r.caller.IsSuspect(d.Fingerprint) {
		// The other VM does not know yet, or would not have divided the query.
		r.caller.WriteSuspicion(w.Header(), d.Fingerprint)
		r.decline(w, id, "suspected of crashing backend servers")
		return
	}
	q := r.newRequest(in, id, start, route, table, body, held)
	q.fingerprint = d.Fingerprint
	ctx, cancel := r.requestContext(in, q)
	defer cancel()
	a := r.caller.Gather(ctx, shuntcall.Query{Route: route, Table: table, Request: q.upstream, Start: start, Fingerprint: d.Fingerprint}, subset)
	r.replyDelegated(w, q, a)
	klog.InfoS("Shards gathered", "request", id, "route", route.Name, "version", table.Version(), "shards", len(subset.Shards), "missing", a.Missing,
		"end", a.Status, "took", time.Since(start).Milliseconds(), "attempts", a.Attempts, "reason", a.Reason)
}

// replyDelegated sends the result of a delegated query.
func (r *Router) replyDelegated(w http.ResponseWriter, q request, a shuntcall.Answer) {
	switch a.Status {
	case shuntcall.Served:
	case shuntcall.Refused:
		r.decline(w, q.id, a.Reason)
		return
	default:
		w.Header().Set("Content-Length", "0")
		w.WriteHeader(http.StatusBadGateway)
		return
	}
	body := shuntcall.MergeTopRecords(a.Bodies, q.route.TopRecords)
	h := w.Header()
	shuntcall.WriteDelegated(h, a, time.Since(q.start))
	for _, name := range implicitHeaders {
		h[name] = nil
	}
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(http.StatusOK)
	r.write(w, q.id, body)
}

// decline tells another VM that its request has not run here and will not run.
func (r *Router) decline(w http.ResponseWriter, id, reason string) {
	klog.InfoS("Shards declined", "request", id, "reason", reason)
	w.Header().Set(r.config.Headers.Upstream.NotRun, "1")
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(http.StatusServiceUnavailable)
}
