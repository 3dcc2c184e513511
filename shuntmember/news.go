package shuntmember

import (
	"context"
	"net/netip"
	"time"
)

const (
	// newsInterval is the time between two datagrams with news.
	newsInterval = 100 * time.Millisecond
	// newsFanout is the number of VMs, of any region, that get news at once. Those that
	// learn something pass it on in the same way.
	newsFanout = 4
	// maxNewsBytes limits the size of the things in a datagram.
	maxNewsBytes = maxDatagram - 2
)

// NewsTable holds things that VMs tell each other as soon as one of them learns them.
type NewsTable[T any] interface {
	// Export returns things for another VM, News those that it may not know yet.
	Export(limit int) []T
	News(limit int) []T
	Merge(in []T)
}

// spreader is a newsExchange of any kind of things.
type spreader interface {
	run(ctx context.Context)
	tellSome(to []netip.AddrPort)
	tellNewcomer(vm Report)
	handle(b []byte) (ok bool, err error)
}

// newsExchange spreads the contents of a table among the VMs.
type newsExchange[T any] struct {
	// version is the first byte of the datagrams. header returns their first bytes, given
	// the number of things, if there are others.
	version byte
	header  func(count int) []byte
	// toOlder is true if only VMs before protocol 1 are told, and nothing is read.
	toOlder bool
	table   NewsTable[T]
	encode  func(b []byte, v T) []byte
	decode  func(r *reader) T
	// maxNews is the maximum number of things in a datagram with news, maxTold that in one
	// that goes out with each heartbeat, and maxJoin that in the answer to a VM that has
	// just started.
	maxNews, maxTold, maxJoin int
	snapshot                  func() *Snapshot
	// sample returns up to count random VMs.
	sample func(from []netip.AddrPort, count int) []netip.AddrPort
	send   func(b []byte, to netip.AddrPort)
	// addressee returns a VM that must learn of a thing in any case; it may be nil.
	addressee func(v T) (netip.AddrPort, bool)
	// news is signalled when there is news.
	news chan struct{}
}

// signal makes the exchange tell the other VMs soon.
func (x *newsExchange[T]) signal() {
	select {
	case x.news <- struct{}{}:
	default:
		// A signal is pending.
	}
}

// run tells other VMs of news until ctx ends.
func (x *newsExchange[T]) run(ctx context.Context) {
	for {
		select {
		case <-x.news:
		case <-ctx.Done():
			return
		}
		for x.tellNews() {
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
func (x *newsExchange[T]) tellNews() bool {
	to := x.addressees(x.snapshot().others())
	if len(to) == 0 {
		return false
	}
	news := x.table.News(x.maxNews)
	if len(news) == 0 {
		return false
	}
	b := x.datagram(news)
	for _, vm := range x.sample(to, newsFanout) {
		x.send(b, vm)
	}
	for _, v := range news {
		if x.addressee == nil {
			break
		}
		if vm, ok := x.addressee(v); ok {
			x.send(x.datagram([]T{v}), vm)
		}
	}
	return true
}

// tellSome sends some things to the VMs that get a heartbeat.
func (x *newsExchange[T]) tellSome(to []netip.AddrPort) { x.tell(x.addressees(to), x.maxTold) }

// tellNewcomer sends things to a VM that has just started.
func (x *newsExchange[T]) tellNewcomer(vm Report) {
	if !x.toOlder || vm.isOlder() {
		x.tell([]netip.AddrPort{vm.Address}, x.maxJoin)
	}
}

// tell sends up to limit things to the VMs, if there are any.
func (x *newsExchange[T]) tell(to []netip.AddrPort, limit int) {
	if len(to) == 0 {
		return
	}
	things := x.table.Export(limit)
	if len(things) == 0 {
		return
	}
	b := x.datagram(things)
	for _, vm := range to {
		x.send(b, vm)
	}
}

// addressees returns those of the VMs that are told.
func (x *newsExchange[T]) addressees(vms []netip.AddrPort) []netip.AddrPort {
	if !x.toOlder {
		return vms
	}
	return x.snapshot().olderOf(vms)
}

// datagram encodes as many of the things as fit.
func (x *newsExchange[T]) datagram(things []T) []byte {
	var body []byte
	count := 0
	for _, v := range things {
		e := x.encode(nil, v)
		if len(body)+len(e) > maxNewsBytes {
			break
		}
		body = append(body, e...)
		count++
	}
	if x.header != nil {
		return append(x.header(count), body...)
	}
	return append([]byte{x.version}, body...)
}

// handle handles a datagram. It returns false if it is of another kind.
func (x *newsExchange[T]) handle(b []byte) (ok bool, err error) {
	if x.toOlder || len(b) == 0 || b[0] != x.version {
		return false, nil
	}
	r := &reader{rest: b[1:]}
	if in := readAll(r, x.decode); r.err == nil {
		x.table.Merge(in)
	}
	return true, r.err
}
