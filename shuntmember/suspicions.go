package shuntmember

import (
	"context"
	"encoding/binary"
	"net/netip"
	"strconv"
	"time"

	"mulberryshunt.example/mulberryshunt/shuntguard"
)

// suspicionsVersion is the first byte of datagrams in which VMs tell each other which
// requests are suspected of crashing backend servers.
const suspicionsVersion = 4

const (
	// newsInterval is the time between two datagrams with news.
	newsInterval = 100 * time.Millisecond
	// newsFanout is the number of VMs, of any region, that get news at once. Those that
	// learn something pass it on in the same way.
	newsFanout = 4
	// maxNews and maxSuspicions are the maximum numbers of suspicions in a datagram with
	// news and in one that goes out with each heartbeat, and maxJoinSuspicions that in the
	// answer to a VM that has just started.
	maxNews           = 40
	maxSuspicions     = 12
	maxJoinSuspicions = 60
)

// SuspicionTable holds the requests that are suspected of crashing backend servers.
type SuspicionTable interface {
	// Export returns suspicions for another VM, News those that it may not know yet.
	Export(limit int) []shuntguard.Suspicion
	News(limit int) []shuntguard.Suspicion
	Merge(in []shuntguard.Suspicion)
}

// suspicionExchange spreads suspicions among the VMs.
type suspicionExchange struct {
	table    SuspicionTable
	snapshot func() *Snapshot
	// sample returns up to count random VMs.
	sample func(from []netip.AddrPort, count int) []netip.AddrPort
	send   func(b []byte, to netip.AddrPort)
	// news is signalled when there is news.
	news chan struct{}
}

// SuspicionsChanged makes the node tell the other VMs soon.
func (n *Node) SuspicionsChanged() {
	select {
	case n.suspicions.news <- struct{}{}:
	default:
		// A signal is pending.
	}
}

// spreadNews tells other VMs of news until ctx ends.
func (n *Node) spreadNews(ctx context.Context) {
	for {
		select {
		case <-n.suspicions.news:
		case <-ctx.Done():
			return
		}
		for n.suspicions.tellNews() {
			t := time.NewTimer(newsInterval)
			select {
			case <-t.C:
			case <-ctx.Done():
				t.Stop()
				return
			}
		}
	}
}

// tellNews sends one datagram with news to some VMs. It returns false if there is none.
// What this VM has observed itself also goes to the VM in charge of the request, which
// so learns of all crashes even if others hear of few.
func (x *suspicionExchange) tellNews() bool {
	news := x.table.News(maxNews)
	if len(news) == 0 {
		return false
	}
	s := x.snapshot()
	b := encodeSuspicions(news)
	for _, vm := range x.sample(s.others(), newsFanout) {
		x.send(b, vm)
	}
	for _, e := range news {
		if vm, self, ok := s.InChargeOfSuspect(e.Fingerprint, nil); e.Observed && ok && !self {
			x.send(encodeSuspicions([]shuntguard.Suspicion{e}), vm.Address)
		}
	}
	return true
}

// tell sends up to limit suspicions to the VMs, if there are any.
func (x *suspicionExchange) tell(to []netip.AddrPort, limit int) {
	if len(to) == 0 {
		return
	}
	suspicions := x.table.Export(limit)
	if len(suspicions) == 0 {
		return
	}
	b := encodeSuspicions(suspicions)
	for _, vm := range to {
		x.send(b, vm)
	}
}

// handle handles a datagram with suspicions. It returns false if it is of another kind.
func (x *suspicionExchange) handle(b []byte) (ok bool, err error) {
	if len(b) == 0 || b[0] != suspicionsVersion {
		return false, nil
	}
	r := &reader{rest: b[1:]}
	if in := readAll(r, (*reader).briefSuspicion); r.err == nil {
		x.table.Merge(in)
	}
	return true, r.err
}

// suspectName is the name of a suspect by which a VM is chosen to be in charge of it.
func suspectName(fingerprint uint64) string { return "suspect " + strconv.FormatUint(fingerprint, 16) }

// encodeSuspicions encodes suspicions without the names of servers, which are for logs.
func encodeSuspicions(in []shuntguard.Suspicion) []byte {
	b := []byte{suspicionsVersion}
	for _, s := range in {
		b = binary.BigEndian.AppendUint64(b, s.Fingerprint)
		b = binary.AppendUvarint(b, uint64(s.Strikes))
		b = binary.AppendUvarint(b, uint64(s.Age.Milliseconds()))
		b = append(b, byte(len(s.Episodes)))
		for _, id := range s.Episodes {
			b = binary.BigEndian.AppendUint32(b, id)
		}
	}
	return b
}

func (r *reader) briefSuspicion() shuntguard.Suspicion {
	s := shuntguard.Suspicion{Fingerprint: binary.BigEndian.Uint64(r.bytes(8)), Strikes: int(r.uvarint()), Age: r.milliseconds()}
	for n := r.bytes(1)[0]; n > 0 && r.err == nil; n-- {
		s.Episodes = append(s.Episodes, binary.BigEndian.Uint32(r.bytes(4)))
	}
	return s
}
