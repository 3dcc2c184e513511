package shuntrouter

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/juju/errors"
	"k8s.io/klog/v2"

	"mulberryshunt.example/mulberryshunt/shuntcall"
	"mulberryshunt.example/mulberryshunt/shuntmember"
)

const (
	// shardPort is how many ports above that for other VMs the one lies on which
	// this VM gathers shards for them.
	shardPort = 1
	// peerIdle is how long a connection of another VM may be idle.
	peerIdle = 30 * time.Second
)

// shardAddress is where the VM gathers shards for others.
func shardAddress(peer netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(peer.Addr(), peer.Port()+shardPort)
}

// fleet is what a caller needs to know of the other VMs.
type fleet struct {
	*shuntmember.Node
	region string
}

// Delegates implements shuntcall.Fleet.
func (f fleet) Delegates() []shuntcall.Delegate {
	var out []shuntcall.Delegate
	for region, vms := range f.Snapshot().RemoteEntries(f.region) {
		for _, vm := range vms {
			out = append(out, shuntcall.Delegate{Address: shardAddress(vm).String(), Region: region})
		}
	}
	return out
}

// serveShards gathers shards for other VMs until ctx ends. A VM that can't
// works without: the others then ask the shards themselves.
func (r *Router) serveShards(ctx context.Context) {
	address := shardAddress(r.config.Settings.PeerAddress)
	l, err := net.Listen("tcp4", address.String())
	if err != nil {
		klog.InfoS("No shards gathered for other VMs", "address", address, "reason", err.Error())
		return
	}
	server := &http.Server{Handler: http.HandlerFunc(r.gather), IdleTimeout: peerIdle, ReadHeaderTimeout: defaultHeaderTime, MaxHeaderBytes: mostHeaderBytes}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	r.config.Group.Go(func() {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			klog.InfoS("Listener ended", "address", address, "reason", err.Error())
		}
	})
}

// gather answers another VM for some of a query's shards. It declines where the
// two go by different routes: parts of one answer belong to one version.
func (r *Router) gather(w http.ResponseWriter, in *http.Request) {
	start := time.Now()
	id := in.Header.Get(r.config.Headers.Upstream.RequestID)
	w.Header().Set(r.config.Headers.Upstream.RequestID, id)
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
	route, ok := table.Match(in.Host, in.URL.Path)
	if !ok {
		r.decline(w, id, "no route")
		return
	}
	subset, ok := d.Subset(route, start)
	if !ok {
		r.decline(w, id, "no such shards")
		return
	}
	body, err := io.ReadAll(in.Body)
	if err != nil {
		r.decline(w, id, err.Error())
		return
	}
	q := r.request(in, id, start, route, table, body)
	q.fingerprint = d.Fingerprint
	ctx, cancel := context.WithDeadline(in.Context(), q.deadline.Add(-replyMargin))
	defer cancel()
	a := r.caller.Gather(ctx, shuntcall.Query{Route: route, Table: table, Request: q.upstream, Start: start, Fingerprint: d.Fingerprint}, subset)
	r.replyGathered(w, q, a)
	klog.InfoS("Shards gathered", "request", id, "route", route.Name, "version", table.Version(), "shards", len(subset.Shards), "missing", a.Missing,
		"end", a.Status, "took", time.Since(start).Milliseconds(), "attempts", a.Attempts, "reason", a.Reason)
}

func (r *Router) replyGathered(w http.ResponseWriter, q request, a shuntcall.Answer) {
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
	for _, name := range addedHeaders {
		h[name] = nil
	}
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(http.StatusOK)
	r.write(w, q.id, body)
}

// decline answers another VM for a request that has not run here and never will.
func (r *Router) decline(w http.ResponseWriter, id, reason string) {
	klog.InfoS("Shards declined", "request", id, "reason", reason)
	w.Header().Set(r.config.Headers.Upstream.NotRun, "1")
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(http.StatusServiceUnavailable)
}
