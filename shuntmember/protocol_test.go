package shuntmember

import (
	"bytes"
	"context"
	"encoding/gob"
	"encoding/hex"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"mulberryshunt.example/mulberryshunt/shuntbalance"
	"mulberryshunt.example/mulberryshunt/shuntgroup"
	"mulberryshunt.example/mulberryshunt/shuntguard"
)

// recorded returns a message that an earlier build has sent.
func recorded(t testing.TB, name string) []byte {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", "protocol", name+".hex"))
	if err != nil {
		t.Fatal(err)
	}
	b, err := hex.DecodeString(strings.TrimSpace(string(text)))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// TestRecordedDatagrams checks what this build reads in the datagrams of earlier ones.
func TestRecordedDatagrams(t *testing.T) {
	report := Report{
		Address: netip.MustParseAddrPort("10.1.0.9:7380"), Zone: "saga-imari", Start: 1764945622000, Heartbeat: 17,
		Serving: true, PlatformReachable: true, Capacity: 400, Load: 31, Revision: 905,
	}
	withoutLinks := report
	withoutLinks.LinksLost = true
	cases := map[string]struct {
		suspicions []shuntguard.Suspicion
		reports    []Report
	}{
		"546346d-reports": {[]shuntguard.Suspicion{
			{Fingerprint: 0xdba69dfaf627c82e, Servers: []string{"i-6632adcb1d"}, Strikes: 1, Age: 1500 * time.Millisecond},
			{Fingerprint: 0x200a5b9f7697cffe, Servers: []string{"i-1", "i-2"}, Age: 300 * time.Millisecond},
		}, []Report{report}},
		"b1fe229-reports": {nil, []Report{withoutLinks}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			suspicions, reports, err := decodeDatagram(recorded(t, name))
			if err != nil || !reflect.DeepEqual(suspicions, c.suspicions) || !reflect.DeepEqual(reports, c.reports) {
				t.Errorf("got %+v %+v %v; want %+v %+v", suspicions, reports, err, c.suspicions, c.reports)
			}
		})
	}
	server := shuntbalance.Incarnation{ID: "i-6632adcb1d", StartMillis: 1764945622123}
	checkRecorded(t, "b1fe229-suspicions", (*reader).briefSuspicion, shuntguard.Suspicion{Fingerprint: 0xdba69dfaf627c82e, Strikes: 1, Age: 1500 * time.Millisecond, Episodes: []uint32{7, 9}})
	checkRecorded(t, "546346d-claims", (*reader).claim, shuntbalance.RateClaim{Server: server, Region: "saga", Limit: 23.8, Age: time.Second, Demand: 4, Held: 2})
	checkRecorded(t, "546346d-grants", (*reader).grant, shuntbalance.RateGrant{Server: server, Rate: 7.25})
	checkRecorded(t, "b1fe229-leaving", (*reader).leaving, shuntbalance.LeavingHint{Server: server, Age: 1200 * time.Millisecond})
	checkRecorded(t, "b1fe229-limits", (*reader).limitHint, shuntbalance.LimitHint{Server: server, Region: "saga", Limit: 4.1, Age: time.Second})
}

// checkRecorded checks that a datagram holds one thing, and reads as it was meant.
func checkRecorded[T any](t *testing.T, name string, decode func(*reader) T, want T) {
	t.Helper()
	t.Run(name, func(t *testing.T) {
		r := &reader{rest: recorded(t, name)[1:]}
		if got := readAll(r, decode); r.err != nil || !reflect.DeepEqual(got, []T{want}) {
			t.Errorf("got %+v %v; want %+v", got, r.err, want)
		}
	})
}

// TestRecordedState checks that the state that an earlier build has sent is read.
func TestRecordedState(t *testing.T) {
	var reply StateReply
	if err := gob.NewDecoder(bytes.NewReader(recorded(t, "546346d-state"))).Decode(&reply); err != nil {
		t.Fatal(err)
	}
	want := StateReply{Revision: 907, Whole: true, Keys: []string{"routes"}, Revisions: []int64{907}, Values: [][]byte{[]byte("{}")}, Removed: []bool{false}, Unchanged: []string{"i-1"}}
	if !reflect.DeepEqual(reply, want) {
		t.Errorf("got %+v; want %+v", reply, want)
	}
}

// TestProtocolPassedOn checks that a VM's protocol is not forgotten when a VM that does not
// know of protocols passes its report on, and that it is when the VM has gone back.
func TestProtocolPassedOn(t *testing.T) {
	reports := newReports(2, equalCapacity)
	first := reports[1]
	first.Protocol = Protocol
	cases := map[string]struct {
		change func(r *Report)
		older  bool
	}{
		"passed on":  {func(r *Report) { r.Heartbeat++ }, false},
		"gone back":  {func(r *Report) { r.Start++ }, true},
		"both again": {func(r *Report) { r.Start++; r.Protocol = Protocol }, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			l, now := NewMemberList(reports[0], regionOf), time.Now()
			l.Merge([]Report{first}, now)
			again := reports[1]
			c.change(&again)
			l.Merge([]Report{again}, now)
			if got := len(l.Snapshot(now, settledAge).olderOf([]netip.AddrPort{again.Address})) > 0; got != c.older {
				t.Errorf("before protocol 1: %v; want %v", got, c.older)
			}
		})
	}
}

// TestSuspicionsBesideOlderVM checks that a VM and one of a build before protocol 1 learn of
// each other's suspects.
func TestSuspicionsBesideOlderVM(t *testing.T) {
	const fleet = 9
	mine, theirs := shuntguard.Identity{Content: 1, Exact: 2}, shuntguard.Identity{Content: 3, Exact: 4}
	var group shuntgroup.Group
	ctx, cancel := context.WithCancel(context.Background())
	defer group.Close()
	defer cancel()
	guard := shuntguard.New(shuntguard.Config{})
	n := startNodeWith(ctx, t, &group, fleet, 0, guard)
	older, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(nodeAddress(fleet, 1)))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = older.Close() }()
	// What builds before protocol 1 send differs only in the flags, which are 0 here.
	hello := earlierDatagram([]shuntguard.Suspicion{{Fingerprint: theirs.Exact, Servers: []string{"i-1"}, Strikes: 1}},
		[]Report{{Address: nodeAddress(fleet, 1), Zone: "a0", Start: 1, Heartbeat: 1, Capacity: 400}})
	if _, err := older.WriteToUDPAddrPort(hello, nodeAddress(fleet, 0)); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the VM knows the older one", func() bool { return len(n.Snapshot().older) == 1 })
	guard.Recognize(theirs)
	if guard.QuarantineLeft(theirs.Content) == 0 {
		t.Error("a request is not in quarantine though the older VM says so")
	}
	guard.RecordLost(mine)
	guard.RecordCrash(mine.Content, "i-2", true)
	n.SuspicionsChanged()
	if err := older.SetReadDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	b := make([]byte, readBufferSize)
	for {
		size, _, err := older.ReadFromUDPAddrPort(b)
		if err != nil {
			t.Fatalf("the older VM is not told of a suspect: %v", err)
		}
		suspicions, _, err := decodeDatagram(b[:size])
		if err == nil && slices.ContainsFunc(suspicions, func(s shuntguard.Suspicion) bool { return s.Fingerprint == mine.Exact && s.Strikes == 1 }) {
			return
		}
	}
}
