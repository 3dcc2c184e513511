package shuntmember

import (
	"context"
	"encoding/binary"
	"math"
	"net/netip"
	"time"

	"mulberryshunt.example/mulberryshunt/shuntbalance"
)

// Versions of the datagrams in which VMs claim and grant parts of servers' limits.
// Like datagramVersion, they are the first byte.
const (
	claimsVersion = 2
	grantsVersion = 3
)

// RateLimits holds the limits that backend servers have named, to this VM or to others.
type RateLimits interface {
	NewsTable[shuntbalance.LimitHint]
	// Claims returns what this VM claims of them.
	Claims(now time.Time) []shuntbalance.RateClaim
	// Grant puts a grant into force.
	Grant(g shuntbalance.RateGrant, now time.Time)
}

// limitExchange divides the limits of backend servers with the other VMs.
type limitExchange struct {
	self     netip.AddrPort
	limits   RateLimits
	divider  *shuntbalance.RateDivider
	snapshot func() *Snapshot
	send     func(b []byte, to netip.AddrPort)
}

// claimLimits claims parts of servers' limits until ctx ends.
func (n *Node) claimLimits(ctx context.Context) {
	t := time.NewTicker(shuntbalance.ClaimInterval)
	defer t.Stop()
	for {
		select {
		case now := <-t.C:
			n.limits.claim(now)
		case <-ctx.Done():
			return
		}
	}
}

// claim claims parts of servers' limits from the VMs that divide them.
func (x *limitExchange) claim(now time.Time) {
	s := x.snapshot()
	byVM := map[netip.AddrPort][]shuntbalance.RateClaim{}
	for _, c := range x.limits.Claims(now) {
		vm := s.Divider(c.Server.ID, c.Region)
		byVM[vm] = append(byVM[vm], c)
	}
	for vm, claims := range byVM {
		if vm == x.self {
			x.grantAll(x.divide(vm, claims, now), now)
			continue
		}
		for _, b := range encodeEach(claimsVersion, claims, appendClaim) {
			x.send(b, vm)
		}
	}
	x.divider.Prune(now)
}

// divide returns what the claims of a VM are granted.
func (x *limitExchange) divide(vm netip.AddrPort, claims []shuntbalance.RateClaim, now time.Time) []shuntbalance.RateGrant {
	fleet := fleetShares{x.snapshot(), now}
	var out []shuntbalance.RateGrant
	for _, c := range claims {
		if g, ok := x.divider.Divide(vm, c, fleet, now); ok {
			out = append(out, g)
		}
	}
	return out
}

func (x *limitExchange) grantAll(grants []shuntbalance.RateGrant, now time.Time) {
	for _, g := range grants {
		x.limits.Grant(g, now)
	}
}

// handle handles a datagram with claims or grants. It returns false if the datagram is
// of another kind.
func (x *limitExchange) handle(from netip.AddrPort, b []byte, now time.Time) (ok bool, err error) {
	if len(b) == 0 {
		return false, nil
	}
	r := &reader{rest: b[1:]}
	switch b[0] {
	case claimsVersion:
		if claims := readAll(r, (*reader).claim); r.err == nil {
			for _, b := range encodeEach(grantsVersion, x.divide(from, claims, now), appendGrant) {
				x.send(b, from)
			}
		}
	case grantsVersion:
		if grants := readAll(r, (*reader).grant); r.err == nil {
			x.grantAll(grants, now)
		}
	default:
		return false, nil
	}
	return true, r.err
}

// fleetShares is a snapshot at a time. It implements shuntbalance.FleetShares.
type fleetShares struct {
	*Snapshot
	now time.Time
}

// Divides implements shuntbalance.FleetShares.
func (f fleetShares) Divides(server, region string) bool {
	return f.Snapshot.Divides(server, region, f.now)
}

// encodeEach encodes all values in as few datagrams as possible.
func encodeEach[T any](version byte, values []T, encode func(b []byte, v T) []byte) [][]byte {
	var out [][]byte
	b := []byte{version}
	for _, v := range values {
		e := encode(nil, v)
		if len(b)+len(e) > maxDatagram {
			out = append(out, b)
			b = []byte{version}
		}
		b = append(b, e...)
	}
	if len(b) > 1 {
		out = append(out, b)
	}
	return out
}

// readAll reads values until the end of the datagram or the first error.
func readAll[T any](r *reader, read func(*reader) T) []T {
	var out []T
	for r.err == nil && len(r.rest) > 0 {
		out = append(out, read(r))
	}
	return out
}

const (
	// rateUnit is the unit in which rates are sent, in requests per second.
	rateUnit = 0.001
	// maxRateUnits bounds them to what a float64 has exactly.
	maxRateUnits = 1 << 50
)

func appendRate(b []byte, perSecond float64) []byte {
	return binary.AppendUvarint(b, uint64(math.Round(perSecond/rateUnit)))
}

func (r *reader) rate() float64 { return float64(min(r.uvarint(), maxRateUnits)) * rateUnit }

func appendServer(b []byte, s shuntbalance.Incarnation) []byte {
	return binary.AppendUvarint(appendString(b, s.ID), uint64(s.StartMillis))
}

func (r *reader) server() shuntbalance.Incarnation {
	return shuntbalance.Incarnation{ID: r.text(), StartMillis: int64(r.uvarint())}
}

func appendClaim(b []byte, c shuntbalance.RateClaim) []byte {
	b = appendString(appendServer(b, c.Server), c.Region)
	b = binary.AppendUvarint(appendRate(b, c.Limit), uint64(c.Age.Milliseconds()))
	return appendRate(appendRate(b, c.Demand), c.Held)
}

func (r *reader) claim() shuntbalance.RateClaim {
	return shuntbalance.RateClaim{
		Server: r.server(), Region: r.text(), Limit: r.rate(), Age: r.milliseconds(),
		Demand: r.rate(), Held: r.rate(),
	}
}

func appendGrant(b []byte, g shuntbalance.RateGrant) []byte {
	return appendRate(appendServer(b, g.Server), g.Rate)
}

func (r *reader) grant() shuntbalance.RateGrant {
	return shuntbalance.RateGrant{Server: r.server(), Rate: r.rate()}
}
