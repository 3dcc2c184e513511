package shuntmember

import (
	"encoding/binary"
	"net/netip"

	"github.com/juju/errors"
)

const (
	datagramVersion = 1
	flagServing     = 1
	flagLeaving     = 2
	flagReading     = 4
	// maxDatagram bounds a datagram, so that it is not cut into fragments.
	maxDatagram = 1400
)

var errDatagram = errors.New("the datagram can't be read")

// encodeReports writes as many reports as fit into one datagram.
func encodeReports(reports []Report) []byte {
	b := []byte{datagramVersion}
	for _, r := range reports {
		e := encodeReport(r)
		if len(b)+len(e) > maxDatagram {
			break
		}
		b = append(b, e...)
	}
	return b
}

func encodeReport(r Report) []byte {
	ip := r.Address.Addr().As4()
	b := append([]byte{}, ip[:]...)
	b = binary.BigEndian.AppendUint16(b, r.Address.Port())
	b = binary.AppendUvarint(b, r.Start)
	b = binary.AppendUvarint(b, r.Count)
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
	if r.Reading {
		flags |= flagReading
	}
	b = append(b, flags, byte(len(r.Zone)))
	return append(b, r.Zone...)
}

// decodeReports reads a datagram.
func decodeReports(b []byte) ([]Report, error) {
	if len(b) == 0 || b[0] != datagramVersion {
		return nil, errDatagram
	}
	b = b[1:]
	var out []Report
	for len(b) > 0 {
		r, rest, err := decodeReport(b)
		if err != nil {
			return nil, err
		}
		out, b = append(out, r), rest
	}
	return out, nil
}

func decodeReport(b []byte) (Report, []byte, error) {
	const addressBytes = 6
	if len(b) < addressBytes {
		return Report{}, nil, errDatagram
	}
	r := Report{Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[:4])), binary.BigEndian.Uint16(b[4:]))}
	b = b[addressBytes:]
	var numbers [5]uint64
	for i := range numbers {
		v, n := binary.Uvarint(b)
		if n <= 0 {
			return Report{}, nil, errDatagram
		}
		numbers[i], b = v, b[n:]
	}
	if len(b) < 2 || len(b) < 2+int(b[1]) {
		return Report{}, nil, errDatagram
	}
	r.Start, r.Count, r.Revision = numbers[0], numbers[1], int64(numbers[2])
	r.Capacity, r.Load = uint32(numbers[3]), uint32(numbers[4])
	r.Serving, r.Leaving, r.Reading = b[0]&flagServing != 0, b[0]&flagLeaving != 0, b[0]&flagReading != 0
	r.Zone = string(b[2 : 2+int(b[1])])
	return r, b[2+int(b[1]):], nil
}
