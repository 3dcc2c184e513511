package shuntpeer

import (
	"context"
	"net"
	"net/rpc"
	"sync"

	"k8s.io/klog/v2"
)

const maxServerConnections = 4096

// ServerConfig is what a Server is made of.
type ServerConfig struct {
	// Key is the secret that callers must prove.
	Key []byte
	// Receivers are the net/rpc receivers by service name.
	Receivers map[string]any
}

// Server answers the calls of other daemons.
type Server struct {
	key   []byte
	rpc   *rpc.Server
	group sync.WaitGroup

	mu     sync.Mutex
	conns  map[net.Conn]bool
	closed bool
}

// NewServer returns a Server for the receivers in c.
func NewServer(c ServerConfig) (*Server, error) {
	s := &Server{key: c.Key, rpc: rpc.NewServer(), conns: map[net.Conn]bool{}}
	for n, r := range c.Receivers {
		if err := s.rpc.RegisterName(n, r); err != nil {
			return nil, err
		}
	}
	if err := s.rpc.RegisterName(pingService, pinger{}); err != nil {
		return nil, err
	}
	return s, nil
}

// Serve accepts connections on l until ctx ends, then closes them all and
// waits for the goroutines behind them.
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

func (s *Server) serve(c net.Conn) {
	defer s.remove(c)
	if err := handshakeServer(c, s.key); err != nil {
		klog.InfoS("Peer refused", "remote", c.RemoteAddr().String(), "reason", err.Error())
		return
	}
	s.rpc.ServeCodec(serverCodec{newFrames(c)})
}

func (s *Server) add(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || len(s.conns) >= maxServerConnections {
		return false
	}
	s.conns[c] = true
	return true
}

func (s *Server) remove(c net.Conn) {
	_ = c.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

func (s *Server) close(l net.Listener) {
	_ = l.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for c := range s.conns {
		_ = c.Close()
	}
}
