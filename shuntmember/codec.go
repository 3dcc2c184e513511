package shuntmember

import (
	"encoding/binary"
	"math"
	"net/netip"
	"time"

	"github.com/juju/errors"

	"mulberryshunt.example/mulberryshunt/shuntguard"
)

const (
	datagramVersion       = 1
	flagServing           = 1
	flagLeaving           = 2
	flagPlatformReachable = 4
	flagLinksLost         = 8
	// maxDatagram limits the size of a datagram, so that it is not fragmented.
	maxDatagram = 1400
)

var errMalformedDatagram = errors.New("malformed datagram")

// encodeDatagram encodes as many of the reports as fit into one datagram. The second byte
// is the number of suspicions, which earlier versions of the program sent here too.
func encodeDatagram(reports []Report) []byte {
	b := []byte{datagramVersion, 0}
	for _, r := range reports {
		e := encodeReport(r)
		if len(b)+len(e) > maxDatagram {
			break
		}
		b = append(b, e...)
	}
	return b
}

func appendString(b []byte, s string) []byte {
	s = s[:min(len(s), math.MaxUint8)]
	return append(append(b, byte(len(s))), s...)
}

// reader decodes a datagram. After the first error it returns zero values.
type reader struct {
	rest []byte
	err  error
}

func (r *reader) bytes(n int) []byte {
	if r.err != nil || n < 0 || len(r.rest) < n {
		r.err = errMalformedDatagram
		return make([]byte, max(0, min(n, maxDatagram)))
	}
	b := r.rest[:n]
	r.rest = r.rest[n:]
	return b
}

func (r *reader) uvarint() uint64 {
	v, n := binary.Uvarint(r.rest)
	if r.err != nil || n <= 0 {
		r.err = errMalformedDatagram
		return 0
	}
	r.rest = r.rest[n:]
	return v
}

// milliseconds returns a duration of up to forgetAfter: nothing older is of use.
func (r *reader) milliseconds() time.Duration {
	return time.Duration(min(r.uvarint(), uint64(forgetAfter.Milliseconds()))) * time.Millisecond
}

func (r *reader) text() string { return string(r.bytes(int(r.bytes(1)[0]))) }

// decodeDatagram returns the suspicions and reports of a datagram.
func decodeDatagram(b []byte) ([]shuntguard.Suspicion, []Report, error) {
	r := &reader{rest: b}
	if r.bytes(1)[0] != datagramVersion {
		return nil, nil, errMalformedDatagram
	}
	var suspicions []shuntguard.Suspicion
	for range r.bytes(1)[0] {
		suspicions = append(suspicions, r.suspicion())
	}
	var reports []Report
	for r.err == nil && len(r.rest) > 0 {
		reports = append(reports, r.report())
	}
	return suspicions, reports, r.err
}

func (r *reader) suspicion() shuntguard.Suspicion {
	s := shuntguard.Suspicion{
		Fingerprint: binary.BigEndian.Uint64(r.bytes(8)),
		Strikes:     int(r.uvarint()),
		Age:         r.milliseconds(),
	}
	for n := r.uvarint(); n > 0 && r.err == nil; n-- {
		s.Servers = append(s.Servers, r.text())
	}
	return s
}

func (r *reader) report() Report {
	ip := [4]byte(r.bytes(4))
	out := Report{Address: netip.AddrPortFrom(netip.AddrFrom4(ip), binary.BigEndian.Uint16(r.bytes(2)))}
	out.Start, out.Heartbeat, out.Revision = r.uvarint(), r.uvarint(), int64(r.uvarint())
	out.Capacity, out.Load = uint32(r.uvarint()), uint32(r.uvarint())
	flags := r.bytes(1)[0]
	out.Serving, out.Leaving, out.PlatformReachable = flags&flagServing != 0, flags&flagLeaving != 0, flags&flagPlatformReachable != 0
	out.LinksLost = flags&flagLinksLost != 0
	out.Protocol = flags >> protocolShift
	out.Zone = r.text()
	return out
}

func encodeReport(r Report) []byte {
	ip := r.Address.Addr().As4()
	b := append([]byte{}, ip[:]...)
	b = binary.BigEndian.AppendUint16(b, r.Address.Port())
	b = binary.AppendUvarint(b, r.Start)
	b = binary.AppendUvarint(b, r.Heartbeat)
	b = binary.AppendUvarint(b, uint64(r.Revision))
	b = binary.AppendUvarint(b, uint64(r.Capacity))
	b = binary.AppendUvarint(b, uint64(r.Load))
	var flags byte
	if r.Serving {
		flags |= flagServing
	}
	if r.Leaving {
		flags |= flagLeaving
	}
	if r.PlatformReachable {
		flags |= flagPlatformReachable
	}
	if r.LinksLost {
		flags |= flagLinksLost
	}
	flags |= min(r.Protocol, maxProtocol) << protocolShift
	return appendString(append(b, flags), r.Zone)
}
