package shuntrouter

import (
	"context"
	"net"
	"net/http"
	"time"

	"mulberryshunt.example/mulberryshunt/shuntmemory"
	"mulberryshunt.example/mulberryshunt/shuntroute"
)

// orDefault returns v if it is positive, and otherwise fallback.
func orDefault[T int | time.Duration](v, fallback T) T {
	if v > 0 {
		return v
	}
	return fallback
}

// headerSize returns the length of the request's header, without the request line and
// separators, and the number of its fields. The length never exceeds what the caller sent.
func headerSize(r *http.Request) (length, fields int) {
	length = len(r.Host)
	for name, values := range r.Header {
		fields += len(values)
		for _, v := range values {
			length += len(name) + len(v)
		}
	}
	return length, fields
}

// headMemory returns the memory that the request's header takes.
func headMemory(r *http.Request) int64 {
	length, fields := headerSize(r)
	return int64(len(r.RequestURI) + length + shuntmemory.FieldBytes*fields)
}

// Server returns an HTTP server for callers. It enforces the published limits on
// connections accepted from a listener that Listener returned.
func (r *Router) Server() *http.Server { return r.conns.server(r, maxHeaderBytes) }

// ServerFor returns an HTTP server for what callers ask of this VM itself. Its connections
// count among those of callers, and have the same limits, like those of Server.
func (r *Router) ServerFor(h http.Handler) *http.Server {
	return r.conns.server(http.HandlerFunc(func(w http.ResponseWriter, in *http.Request) {
		_, done, ok := r.conns.beginRequest(in)
		if !ok {
			panic(http.ErrAbortHandler)
		}
		defer done()
		h.ServeHTTP(w, in)
	}), defaultHeaderBytes)
}

func (s *callerConns) server(h http.Handler, maxHeader int) *http.Server {
	return &http.Server{Handler: h, MaxHeaderBytes: maxHeader, ConnState: s.stateChanged, ConnContext: s.connContext}
}

// Listener wraps l so that the published limits are enforced on its connections.
func (r *Router) Listener(l net.Listener) net.Listener { return callerListener{l, r.conns} }

// limits returns the published limits on callers, or none if there is no table.
func (r *Router) limits() shuntroute.Limits {
	if t := r.follower.View().Table; t != nil {
		return t.Limits()
	}
	return shuntroute.Limits{}
}

// enforceLimits periodically closes callers' connections that exceed the limits,
// until ctx ends.
func (r *Router) enforceLimits(ctx context.Context) {
	t := time.NewTicker(limitCheckInterval)
	defer t.Stop()
	for {
		select {
		case now := <-t.C:
			r.conns.enforce(r.limits(), now)
		case <-ctx.Done():
			return
		}
	}
}
