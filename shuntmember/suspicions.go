package shuntmember

import (
	"encoding/binary"
	"net/netip"
	"strconv"

	"mulberryshunt.example/mulberryshunt/shuntbalance"
	"mulberryshunt.example/mulberryshunt/shuntguard"
)

// Versions of the datagrams in which VMs tell each other which requests are suspected of
// crashing backend servers, which servers are leaving, and which name a limit.
const (
	suspicionsVersion = 4
	leavingVersion    = 5
	limitHintsVersion = 6
)

// Limits of the numbers of things in a datagram.
const (
	maxNews           = 40
	maxSuspicions     = 12
	maxJoinSuspicions = 60
	maxLeaving        = 8
	maxJoinLeaving    = 40
	maxLimitHints     = 8
	maxJoinLimitHints = 40
)

// newSuspicionExchange returns an exchange of suspicions. What a VM has observed itself
// also goes to the VM in charge of the request, which so learns of all crashes even if
// others hear of few.
func newSuspicionExchange(table NewsTable[shuntguard.Suspicion], snapshot func() *Snapshot) *newsExchange[shuntguard.Suspicion] {
	return &newsExchange[shuntguard.Suspicion]{
		version: suspicionsVersion, table: table, encode: appendSuspicion, decode: (*reader).briefSuspicion,
		maxNews: maxNews, maxTold: maxSuspicions, maxJoin: maxJoinSuspicions, snapshot: snapshot, news: make(chan struct{}, 1),
		addressee: func(s shuntguard.Suspicion) (netip.AddrPort, bool) {
			vm, self, ok := snapshot().InChargeOfSuspect(s.Fingerprint, nil)
			return vm.Address, s.Observed && ok && !self
		},
	}
}

// newLeavingExchange returns an exchange of the servers that are leaving.
func newLeavingExchange(table NewsTable[shuntbalance.LeavingHint], snapshot func() *Snapshot) *newsExchange[shuntbalance.LeavingHint] {
	return &newsExchange[shuntbalance.LeavingHint]{
		version: leavingVersion, table: table, encode: appendLeaving, decode: (*reader).leaving,
		maxNews: maxNews, maxTold: maxLeaving, maxJoin: maxJoinLeaving, snapshot: snapshot, news: make(chan struct{}, 1),
	}
}

// newLimitHintExchange returns an exchange of the limits that servers have named.
func newLimitHintExchange(table NewsTable[shuntbalance.LimitHint], snapshot func() *Snapshot) *newsExchange[shuntbalance.LimitHint] {
	return &newsExchange[shuntbalance.LimitHint]{
		version: limitHintsVersion, table: table, encode: appendLimitHint, decode: (*reader).limitHint,
		maxNews: maxNews, maxTold: maxLimitHints, maxJoin: maxJoinLimitHints, snapshot: snapshot, news: make(chan struct{}, 1),
	}
}

// suspectName is the name of a suspect by which a VM is chosen to be in charge of it.
func suspectName(fingerprint uint64) string { return "suspect " + strconv.FormatUint(fingerprint, 16) }

// appendSuspicion encodes a suspicion without the names of servers, which are for logs.
func appendSuspicion(b []byte, s shuntguard.Suspicion) []byte {
	b = binary.BigEndian.AppendUint64(b, s.Fingerprint)
	b = binary.AppendUvarint(b, uint64(s.Strikes))
	b = binary.AppendUvarint(b, uint64(s.Age.Milliseconds()))
	b = append(b, byte(len(s.Episodes)))
	for _, id := range s.Episodes {
		b = binary.BigEndian.AppendUint32(b, id)
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

func appendLeaving(b []byte, h shuntbalance.LeavingHint) []byte {
	return binary.AppendUvarint(appendServer(b, h.Server), uint64(h.Age.Milliseconds()))
}

func (r *reader) leaving() shuntbalance.LeavingHint {
	return shuntbalance.LeavingHint{Server: r.server(), Age: r.milliseconds()}
}

func appendLimitHint(b []byte, h shuntbalance.LimitHint) []byte {
	b = appendRate(appendString(appendServer(b, h.Server), h.Region), h.Limit)
	return binary.AppendUvarint(b, uint64(h.Age.Milliseconds()))
}

func (r *reader) limitHint() shuntbalance.LimitHint {
	return shuntbalance.LimitHint{Server: r.server(), Region: r.text(), Limit: r.rate(), Age: r.milliseconds()}
}
