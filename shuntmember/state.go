package shuntmember

import (
	"context"
	"net"
	"net/netip"
	"net/rpc"
	"slices"
	"time"

	"github.com/juju/errors"
	"k8s.io/klog/v2"

	"mulberryshunt.example/mulberryshunt/shuntcatalog"
	"mulberryshunt.example/mulberryshunt/shuntgroup"
)

const (
	stateService = "State"
	stateMethod  = stateService + ".Fetch"
	// fetchTimeout is the timeout for fetching the state from another VM.
	fetchTimeout = 600 * time.Millisecond
	// serveTimeout is the time after which a connection from another VM is
	// closed.
	serveTimeout = 2 * time.Second
	// maxStateBytes limits what is read of another VM's state, and maxRequestBytes what is
	// read of its requests on one connection.
	maxStateBytes   = 8 << 20
	maxRequestBytes = 64 << 10
)

// errTooLong means that another VM has sent more than it may.
var errTooLong = errors.New("the message is too long")

// boundedConn is a connection from which a limited number of bytes can be read.
type boundedConn struct {
	net.Conn
	left int
}

// Read implements net.Conn.
func (c *boundedConn) Read(b []byte) (int, error) {
	if c.left <= 0 {
		return 0, errTooLong
	}
	n, err := c.Conn.Read(b[:min(len(b), c.left)])
	c.left -= n
	return n, err
}

// StateArgs requests the changes after a revision.
type StateArgs struct {
	After int64
	// OmitUnchanged is true if the caller knows the contents of unchanged records.
	// Earlier versions of the program don't set it.
	OmitUnchanged bool
}

// StateReply holds the changes after the requested revision. Revision is 0 if
// there are none. Whole is true if the reply holds the complete state, so that
// keys that are not in it no longer exist.
type StateReply struct {
	Revision  int64
	Whole     bool
	Keys      []string
	Revisions []int64
	Values    [][]byte
	Removed   []bool
	// Unchanged holds the keys of further records of a complete state, whose revisions
	// are not above the requested one.
	Unchanged []string
}

// stateServer serves the published state to other VMs.
type stateServer struct {
	since func(revision int64) shuntcatalog.Delta
}

// Fetch returns the changes after a revision. It is called by net/rpc.
func (s *stateServer) Fetch(args StateArgs, reply *StateReply) error {
	var d shuntcatalog.Delta
	if !shuntgroup.Protect("fetch of the state", func() { d = s.since(args.After) }) {
		return errors.New("internal error")
	}
	if d.Revision <= args.After {
		return nil
	}
	reply.Revision, reply.Whole = d.Revision, d.Full
	records := d.Records
	if !args.OmitUnchanged {
		records = slices.Concat(records, d.Unchanged)
		d.Unchanged = nil
	}
	for _, r := range d.Unchanged {
		reply.Unchanged = append(reply.Unchanged, r.Key)
	}
	for _, r := range records {
		reply.Keys = append(reply.Keys, r.Key)
		reply.Revisions = append(reply.Revisions, r.Revision)
		reply.Values = append(reply.Values, r.Value)
		reply.Removed = append(reply.Removed, r.Removed)
	}
	return nil
}

func (r StateReply) delta() (shuntcatalog.Delta, error) {
	if len(r.Keys) != len(r.Revisions) || len(r.Keys) != len(r.Values) || len(r.Keys) != len(r.Removed) {
		return shuntcatalog.Delta{}, errors.New("the lists in the state reply differ in length")
	}
	d := shuntcatalog.Delta{Full: r.Whole, State: shuntcatalog.State{Revision: r.Revision, Records: make([]shuntcatalog.Record, len(r.Keys))}}
	for i, key := range r.Keys {
		d.Records[i] = shuntcatalog.Record{Key: key, Revision: r.Revisions[i], Value: r.Values[i], Removed: r.Removed[i]}
	}
	for _, key := range r.Unchanged {
		d.Unchanged = append(d.Unchanged, shuntcatalog.Record{Key: key})
	}
	return d, nil
}

func (n *Node) serveState(ctx context.Context) {
	server := rpc.NewServer()
	if err := server.RegisterName(stateService, &stateServer{n.config.ChangesSince}); err != nil {
		panic(err)
	}
	for {
		c, err := n.listener.Accept()
		if err != nil {
			if ctx.Err() == nil && !errors.Is(err, net.ErrClosed) {
				klog.InfoS("Accepting a connection from another VM failed", "reason", err.Error())
				continue
			}
			return
		}
		_ = c.SetDeadline(time.Now().Add(serveTimeout))
		if !n.config.Group.Go(func() { server.ServeConn(&boundedConn{c, maxRequestBytes}) }) {
			_ = c.Close()
		}
	}
}

// FetchNewer implements shuntcatalog.Peers. It fetches the changes after
// revision from the nearest VM that knows a later one.
func (n *Node) FetchNewer(ctx context.Context, revision int64) (shuntcatalog.Delta, bool) {
	vm, ok := n.Snapshot().NearestNewer(revision, n.config.Zone, n.config.RegionOf(n.config.Zone))
	if !ok {
		return shuntcatalog.Delta{}, false
	}
	d, err := fetchState(ctx, vm, revision)
	if err != nil {
		klog.InfoS("Fetching the state from another VM failed", "vm", vm, "reason", err.Error())
		return shuntcatalog.Delta{}, false
	}
	return d, d.Revision > revision
}

// ShouldReadPlatform implements shuntcatalog.Peers. Until a VM has had the time to
// hear of the others, only the seeds follow the platform: otherwise all VMs of a
// fleet that starts would do so at once.
func (n *Node) ShouldReadPlatform() bool {
	s := n.Snapshot()
	if !s.settled {
		return slices.Contains(n.config.Seeds(), n.config.Address)
	}
	return s.ShouldReadPlatform()
}

func fetchState(ctx context.Context, from netip.AddrPort, after int64) (shuntcatalog.Delta, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp4", from.String())
	if err != nil {
		return shuntcatalog.Delta{}, errors.Trace(err)
	}
	client := rpc.NewClient(&boundedConn{c, maxStateBytes})
	defer func() { _ = client.Close() }()
	deadline, _ := ctx.Deadline()
	_ = c.SetDeadline(deadline)
	var reply StateReply
	if err := client.Call(stateMethod, StateArgs{After: after, OmitUnchanged: true}, &reply); err != nil {
		return shuntcatalog.Delta{}, errors.Trace(err)
	}
	return reply.delta()
}
