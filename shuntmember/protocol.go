package shuntmember

import (
	"encoding/binary"
	"net/netip"
	"slices"

	"mulberryshunt.example/mulberryshunt/shuntguard"
)

const (
	// protocolShift is the place of the protocol in the flags of a report, which builds
	// before protocol 1 leave at 0 and ignore.
	protocolShift = 4
	maxProtocol   = 1<<(8-protocolShift) - 1
)

// maxOlderSuspicions limits the number of suspicions in a datagram to VMs before
// protocol 1, and the number told to one that has just started.
const maxOlderSuspicions = 40

// newOlderExchange returns an exchange that tells VMs before protocol 1 of suspects in a
// datagram of reports, which is where they expect them.
func newOlderExchange(table NewsTable[shuntguard.Suspicion], snapshot func() *Snapshot) *newsExchange[shuntguard.Suspicion] {
	return &newsExchange[shuntguard.Suspicion]{
		header: func(count int) []byte { return []byte{datagramVersion, byte(count)} }, toOlder: true,
		table: table, encode: appendOlderSuspicion,
		maxNews: maxOlderSuspicions, maxTold: maxSuspicions, maxJoin: maxOlderSuspicions, snapshot: snapshot, news: make(chan struct{}, 1),
	}
}

// isOlder reports whether the VM is before protocol 1, and this one is not.
func (r Report) isOlder() bool { return r.Protocol == 0 && Protocol > 0 }

// Older returns the number of other VMs that are alive and before protocol 1.
func (s *Snapshot) Older() int { return len(s.older) }

// olderOf returns those of the VMs that are alive and before protocol 1.
func (s *Snapshot) olderOf(vms []netip.AddrPort) []netip.AddrPort {
	if len(s.older) == 0 {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(vms), func(a netip.AddrPort) bool { return !s.older[a] })
}

// appendOlderSuspicion encodes a suspicion as VMs before protocol 1 read it, without the
// names of servers.
func appendOlderSuspicion(b []byte, s shuntguard.Suspicion) []byte {
	b = binary.BigEndian.AppendUint64(b, s.Fingerprint)
	b = binary.AppendUvarint(b, uint64(s.Strikes))
	b = binary.AppendUvarint(b, uint64(s.Age.Milliseconds()))
	return binary.AppendUvarint(b, 0)
}
