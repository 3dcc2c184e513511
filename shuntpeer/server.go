package shuntpeer

import (
	"context"
	"net"
	"net/rpc"
	"sync"

	"k8s.io/klog/v2"
)

// maxServerConnections is the maximum number of open connections. The server
// closes further ones at once.
const maxServerConnections = 4096

// ServerConfig configures a Server.
type ServerConfig struct {
	// Key is the shared key for authentication.
	Key []byte
	// Receivers holds the net/rpc receivers by service name.
	Receivers map[string]any
}

// Server serves calls from other daemons.
type Server struct {
	key   []byte
	rpc   *rpc.Server
	group sync.WaitGroup

	mu     sync.Mutex
	conns  map[net.Conn]bool
	closed bool
}

// NewServer returns a Server with the receivers in c and the ping service.
func NewServer(c ServerConfig) (*Server, error) {
	s := &Server{key: c.Key, rpc: rpc.NewServer(), conns: map[net.Conn]bool{}}
	for name, receiver := range c.Receivers {
		if err := s.rpc.RegisterName(name, receiver); err != nil {
			return nil, err
		}
	}
	if err := s.rpc.RegisterName(pingService, pinger{}); err != nil {
		return nil, err
	}
	return s, nil
}

// Serve accepts connections on l until ctx is done or accepting fails. It then
// closes all connections and waits for their goroutines to exit. It returns nil
// if ctx is done.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	stop := context.AfterFunc(ctx, func() { s.close(l) })
	defer stop()
	for {
		c, err := l.Accept()
		if err != nil {
			s.close(l)
			s.group.Wait()
			if ctx.Err() != nil {
				return nil
			}
			return err
		}
		if !s.add(c) {
			_ = c.Close()
			continue
		}
		s.group.Go(func() { s.serve(c) })
	}
}

// serve authenticates the client and serves its calls until the connection ends.
func (s *Server) serve(c net.Conn) {
	defer s.remove(c)
	if err := handshakeServer(c, s.key); err != nil {
		klog.InfoS("Peer connection refused", "remote", c.RemoteAddr().String(), "reason", err.Error())
		return
	}
	s.rpc.ServeCodec(serverCodec{newFrameConn(c)})
}

// add registers c. It returns false if the server is closed or full.
func (s *Server) add(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || len(s.conns) >= maxServerConnections {
		return false
	}
	s.conns[c] = true
	return true
}

// remove closes and unregisters c.
func (s *Server) remove(c net.Conn) {
	_ = c.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// close closes the listener and all connections.
func (s *Server) close(l net.Listener) {
	_ = l.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for c := range s.conns {
		_ = c.Close()
	}
}
