package shuntfake

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"mulberryshunt.example/mulberryshunt/shuntconfig"
	"mulberryshunt.example/mulberryshunt/shuntowner"
)

// connContextKey is the context key of a connection's backendConn.
type connContextKey struct{}

const (
	maxRequestBytes   = 2 << 20
	readHeaderTimeout = 10 * time.Second
)

// HTTPServer returns an HTTP server for b. Its connections count towards b's
// connection limit and are closed when b's process ends.
func (b *Backend) HTTPServer() *http.Server {
	return &http.Server{
		Handler:           http.HandlerFunc(b.serveHTTP),
		ReadHeaderTimeout: readHeaderTimeout,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			bc := newBackendConn(b, c)
			if err := b.accept(bc); err != nil {
				_ = c.Close()
				return ctx
			}
			return context.WithValue(ctx, connContextKey{}, bc)
		},
		ConnState: b.onConnState,
	}
}

// onConnState removes closed connections from b.conns.
func (b *Backend) onConnState(c net.Conn, s http.ConnState) {
	if s != http.StateClosed && s != http.StateHijacked {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for bc := range b.conns {
		if bc.netConn == c {
			delete(b.conns, bc)
			return
		}
	}
}

func (b *Backend) serveHTTP(w http.ResponseWriter, r *http.Request) {
	c, ok := r.Context().Value(connContextKey{}).(*backendConn)
	if !ok {
		panic(http.ErrAbortHandler)
	}
	req, err := readSubRequest(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if c.hung.Load() {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	resp, alive := b.handle(r.Context(), c, req)
	if !alive {
		panic(http.ErrAbortHandler)
	}
	writeResponse(w, resp)
}

func readSubRequest(r *http.Request) (shuntowner.SubRequest, error) {
	deadlineMillis, err := strconv.ParseInt(r.Header.Get(shuntowner.HeaderDeadline), 10, 64)
	if err != nil {
		return shuntowner.SubRequest{}, err
	}
	expiresMillis, err := strconv.ParseInt(r.Header.Get(shuntowner.HeaderExpires), 10, 64)
	if err != nil {
		return shuntowner.SubRequest{}, err
	}
	attempt, err := strconv.ParseUint(r.Header.Get(shuntowner.HeaderAttempt), 10, 64)
	if err != nil {
		return shuntowner.SubRequest{}, err
	}
	snap, err := shuntconfig.ParseSnapshotID(r.Header.Get(shuntowner.HeaderSnapshot))
	if err != nil {
		return shuntowner.SubRequest{}, err
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxRequestBytes))
	if err != nil {
		return shuntowner.SubRequest{}, err
	}
	deadline := time.Now().Add(time.Duration(deadlineMillis) * time.Millisecond)
	if e := time.UnixMilli(expiresMillis); e.Before(deadline) {
		deadline = e
	}
	return shuntowner.SubRequest{
		Query:    r.Header.Get(shuntowner.HeaderQuery),
		Attempt:  attempt,
		Shard:    r.Header.Get(shuntowner.HeaderShard),
		Snapshot: snap,
		Deadline: deadline,
		Body:     body,
	}, nil
}

func writeResponse(w http.ResponseWriter, p shuntowner.Response) {
	h := w.Header()
	h.Set(shuntowner.HeaderStart, p.Start)
	h.Set(shuntowner.HeaderQuery, p.Query)
	h.Set(shuntowner.HeaderAttempt, strconv.FormatUint(p.Attempt, 10))
	h.Set(shuntowner.HeaderShard, p.Shard)
	h.Set(shuntowner.HeaderSnapshot, p.Snapshot.String())
	notRun := map[shuntowner.Status]string{
		shuntowner.StatusShed:         shuntowner.NotRunShed,
		shuntowner.StatusSnapshotGone: shuntowner.NotRunSnapshot,
		shuntowner.StatusExpired:      shuntowner.NotRunExpired,
		shuntowner.StatusLeaving:      shuntowner.NotRunLeaving,
	}[p.Status]
	switch {
	case notRun != "":
		h.Set(shuntowner.HeaderNotRun, notRun)
		w.WriteHeader(http.StatusServiceUnavailable)
	case p.Status == shuntowner.StatusFault:
		w.WriteHeader(http.StatusInternalServerError)
	default:
		h.Set("Content-Length", strconv.Itoa(len(p.Rows)))
		_, _ = w.Write(p.Rows)
	}
}
