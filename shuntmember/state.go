package shuntmember

import (
	"context"
	"net"
	"net/netip"
	"net/rpc"
	"time"

	"github.com/juju/errors"
	"k8s.io/klog/v2"

	"mulberryshunt.example/mulberryshunt/shuntcatalog"
)

const (
	stateService = "State"
	stateMethod  = stateService + ".Fetch"
	// fetchTimeout bounds one fetch of the state from another VM.
	fetchTimeout = 600 * time.Millisecond
	// serveTimeout bounds a connection of another VM.
	serveTimeout = 2 * time.Second
)

// StateArgs asks for a state newer than After.
type StateArgs struct{ After int64 }

// StateReply is the state; Revision is 0 where there is none newer.
type StateReply struct {
	Revision  int64
	Keys      []string
	Revisions []int64
	Values    [][]byte
}

// stateServer answers other VMs.
type stateServer struct{ state func() shuntcatalog.State }

// Fetch is called by net/rpc.
func (s *stateServer) Fetch(args StateArgs, reply *StateReply) error {
	state := s.state()
	if state.Revision <= args.After {
		return nil
	}
	reply.Revision = state.Revision
	for _, r := range state.Records {
		reply.Keys = append(reply.Keys, r.Key)
		reply.Revisions = append(reply.Revisions, r.Revision)
		reply.Values = append(reply.Values, r.Value)
	}
	return nil
}

func (r StateReply) state() (shuntcatalog.State, error) {
	if len(r.Keys) != len(r.Revisions) || len(r.Keys) != len(r.Values) {
		return shuntcatalog.State{}, errors.New("the state's lists differ in length")
	}
	s := shuntcatalog.State{Revision: r.Revision, Records: make([]shuntcatalog.Record, len(r.Keys))}
	for i, key := range r.Keys {
		s.Records[i] = shuntcatalog.Record{Key: key, Revision: r.Revisions[i], Value: r.Values[i]}
	}
	return s, nil
}

func (n *Node) serveState(ctx context.Context) {
	server := rpc.NewServer()
	if err := server.RegisterName(stateService, &stateServer{n.config.State}); err != nil {
		panic(err)
	}
	for {
		c, err := n.listener.Accept()
		if err != nil {
			if ctx.Err() == nil && !errors.Is(err, net.ErrClosed) {
				klog.InfoS("Connection of another VM not accepted", "reason", err.Error())
				continue
			}
			return
		}
		_ = c.SetDeadline(time.Now().Add(serveTimeout))
		if !n.config.Group.Go(func() { server.ServeConn(c) }) {
			_ = c.Close()
		}
	}
}

// Newer implements shuntcatalog.Peers. It asks the VM that reports the newest
// revision.
func (n *Node) Newer(ctx context.Context, revision int64) (shuntcatalog.State, bool) {
	var best Member
	s := n.Snapshot()
	for _, m := range s.Members {
		if m.Address != s.Self && m.Revision > max(revision, best.Revision) {
			best = m
		}
	}
	if best.Revision == 0 {
		return shuntcatalog.State{}, false
	}
	state, err := fetchState(ctx, best.Address, revision)
	if err != nil {
		klog.InfoS("State not fetched from another VM", "vm", best.Address, "reason", err.Error())
		return shuntcatalog.State{}, false
	}
	return state, state.Revision > revision
}

func fetchState(ctx context.Context, from netip.AddrPort, after int64) (shuntcatalog.State, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp4", from.String())
	if err != nil {
		return shuntcatalog.State{}, errors.Trace(err)
	}
	client := rpc.NewClient(c)
	defer func() { _ = client.Close() }()
	deadline, _ := ctx.Deadline()
	_ = c.SetDeadline(deadline)
	var reply StateReply
	if err := client.Call(stateMethod, StateArgs{after}, &reply); err != nil {
		return shuntcatalog.State{}, errors.Trace(err)
	}
	return reply.state()
}
