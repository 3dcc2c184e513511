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

type connKey struct{}

const (
	maxBackendBody    = 2 << 20
	backendHeaderTime = 10 * time.Second
)

// HTTPServer returns the server of b's HTTP interface. Its connections obey
// b's cap, and die with its process.
func (b *Backend) HTTPServer() *http.Server {
	return &http.Server{
		Handler:           http.HandlerFunc(b.serveHTTP),
		ReadHeaderTimeout: backendHeaderTime,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			bc := newBackendConn(b, c)
			if err := b.accept(bc); err != nil {
				_ = c.Close()
				return ctx
			}
			return context.WithValue(ctx, connKey{}, bc)
		},
		ConnState: b.connState,
	}
}

// connState drops connections from the count once they are closed.
func (b *Backend) connState(c net.Conn, s http.ConnState) {
	if s != http.StateClosed && s != http.StateHijacked {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for bc := range b.conns {
		if bc.net == c {
			delete(b.conns, bc)
			return
		}
	}
}

func (b *Backend) serveHTTP(w http.ResponseWriter, r *http.Request) {
	c, ok := r.Context().Value(connKey{}).(*backendConn)
	if !ok {
		panic(http.ErrAbortHandler)
	}
	req, err := readSubRequest(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if c.silent.Load() {
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
	left, err := strconv.ParseInt(r.Header.Get(shuntowner.HeaderDeadline), 10, 64)
	if err != nil {
		return shuntowner.SubRequest{}, err
	}
	expires, err := strconv.ParseInt(r.Header.Get(shuntowner.HeaderExpires), 10, 64)
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
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBackendBody))
	if err != nil {
		return shuntowner.SubRequest{}, err
	}
	deadline := time.Now().Add(time.Duration(left) * time.Millisecond)
	if e := time.UnixMilli(expires); e.Before(deadline) {
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
