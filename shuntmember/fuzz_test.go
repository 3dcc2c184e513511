package shuntmember

import (
	"bytes"
	"testing"
	"time"

	"mulberryshunt.example/mulberryshunt/shuntbalance"
	"mulberryshunt.example/mulberryshunt/shuntguard"
)

// FuzzDatagram checks that the reports that a datagram decodes to are the same after they
// were encoded and decoded again.
func FuzzDatagram(f *testing.F) {
	f.Add(earlierDatagram([]shuntguard.Suspicion{{Fingerprint: 7, Servers: []string{"i-1"}, Strikes: 2, Age: 3 * time.Second}}, newReports(3, equalCapacity)))
	f.Add(encodeDatagram(nil))
	f.Add([]byte{datagramVersion, 1, 0})
	f.Add(recorded(f, "546346d-reports"))
	f.Add(recorded(f, "b1fe229-reports"))
	f.Fuzz(func(t *testing.T, b []byte) {
		_, reports, err := decodeDatagram(b)
		if err != nil {
			return
		}
		again := encodeDatagram(reports)
		suspicions, reports, err := decodeDatagram(again)
		if err != nil || suspicions != nil || !bytes.Equal(encodeDatagram(reports), again) {
			t.Errorf("%x is not the same again: %v", again, err)
		}
	})
}

// FuzzNews checks the same of suspicions, of servers that are leaving and of limits that
// servers name, and that the tables bear any of them.
func FuzzNews(f *testing.F) {
	guard, notices := shuntguard.New(shuntguard.Config{}), shuntbalance.NewNotices(shuntbalance.NoticesConfig{})
	suspicions := newSuspicionExchange(guard, nil)
	leaving := newLeavingExchange(notices, nil)
	limits := newLimitHintExchange(shuntbalance.NewRateLimiter(shuntbalance.RateLimiterConfig{}), nil)
	f.Add(suspicions.datagram([]shuntguard.Suspicion{{Fingerprint: 7, Strikes: 2, Age: 3 * time.Second, Episodes: []uint32{1, 2}}, {Fingerprint: 8}}))
	f.Add(leaving.datagram([]shuntbalance.LeavingHint{{Server: shuntbalance.Incarnation{ID: "i-1", StartMillis: 1700000000000}, Age: time.Second}}))
	f.Add(limits.datagram([]shuntbalance.LimitHint{{Server: shuntbalance.Incarnation{ID: "i-1", StartMillis: 1700000000000}, Region: "a", Limit: 4.1, Age: time.Second}}))
	for _, name := range []string{"b1fe229-suspicions", "b1fe229-leaving", "b1fe229-limits"} {
		f.Add(recorded(f, name))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		for _, s := range []spreader{suspicions, leaving, limits} {
			if _, err := s.handle(b); err != nil {
				return
			}
		}
		in := &reader{rest: b[min(1, len(b)):]}
		roundTrip(t, readAll(in, (*reader).briefSuspicion), in.err, appendSuspicion, (*reader).briefSuspicion)
		in = &reader{rest: b[min(1, len(b)):]}
		roundTrip(t, readAll(in, (*reader).leaving), in.err, appendLeaving, (*reader).leaving)
		in = &reader{rest: b[min(1, len(b)):]}
		roundTrip(t, readAll(in, (*reader).limitHint), in.err, appendLimitHint, (*reader).limitHint)
	})
}

// FuzzLimits checks the same of claims and grants, and that claims never make a VM grant
// more than the limit that they state.
func FuzzLimits(f *testing.F) {
	server := shuntbalance.Incarnation{ID: "i-1", StartMillis: 1700000000000}
	f.Add(encodeEach(claimsVersion, []shuntbalance.RateClaim{{Server: server, Region: "a", Limit: 23.8, Age: time.Second, Demand: 4, Held: 2}}, appendClaim)[0][1:])
	f.Add(encodeEach(grantsVersion, []shuntbalance.RateGrant{{Server: server, Rate: 7.25}}, appendGrant)[0][1:])
	f.Add(recorded(f, "546346d-claims")[1:])
	f.Add(recorded(f, "546346d-grants")[1:])
	f.Fuzz(func(t *testing.T, b []byte) {
		claims, grants := &reader{rest: b}, &reader{rest: b}
		roundTrip(t, readAll(claims, (*reader).claim), claims.err, appendClaim, (*reader).claim)
		roundTrip(t, readAll(grants, (*reader).grant), grants.err, appendGrant, (*reader).grant)
	})
}

// roundTrip checks that values are the same after they were encoded and decoded.
func roundTrip[T any](t *testing.T, values []T, err error, encode func([]byte, T) []byte, decode func(*reader) T) {
	t.Helper()
	if err != nil {
		return
	}
	for _, v := range values {
		b := encode(nil, v)
		r := &reader{rest: b}
		if again := encode(nil, decode(r)); r.err != nil || !bytes.Equal(again, b) {
			t.Errorf("%+v: %x is %x again: %v", v, b, again, r.err)
		}
	}
}
