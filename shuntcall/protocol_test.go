package shuntcall

import (
	"reflect"
	"testing"
	"time"

	"mulberryshunt.example/mulberryshunt/shuntguard"
	"mulberryshunt.example/mulberryshunt/shuntupstream"
)

// TestRecordedHeaders checks that headers as VMs of earlier builds sent them are read.
func TestRecordedHeaders(t *testing.T) {
	read := func(text string) map[string][]string {
		h, ok := fuzzHeader([]byte(text))
		if !ok {
			t.Fatalf("%q is no header", text)
		}
		return h
	}
	// 546346d and later.
	d, err := ReadDelegated(read("Shunt-Shards: 0,2\r\nShunt-Version: 7\r\nShunt-Need: 1\r\nShunt-Due-Ms: 50\r\nShunt-Fingerprint: a7"))
	if want := (DelegatedQuery{Version: 7, Fingerprint: 0xa7, MinShards: 1, Due: 50 * time.Millisecond, ShardIndexes: []int{0, 2}}); err != nil || !reflect.DeepEqual(d, want) {
		t.Errorf("delegated shards: got %+v, %v; want %+v", d, err, want)
	}
	reply := shuntupstream.Reply{Code: 200, Header: read("Shunt-Signatures: a,b\r\nShunt-Work-Us: 7\r\nShunt-Middle-Us: 5\r\nShunt-In-Us: 6\r\nShunt-Attempts: 2")}
	if r, work := parseDelegateReply(shuntupstream.Outcome{Status: shuntupstream.Answered, Reply: reply}, "vm", 2); r.status != Served || work != 7*time.Microsecond || len(r.signatures) != 2 {
		t.Errorf("delegated shards: got the reply %+v, %v", r, work)
	}
	// b1fe229.
	r, err := ReadRelayed(read("Shunt-Relayed: 1\r\nShunt-Version: 7\r\nShunt-Fingerprint: a7\r\nShunt-Elapsed-Us: 900\r\nShunt-Suspicion: 1 1500"))
	want := Relayed{Version: 7, Fingerprint: 0xa7, Elapsed: 900 * time.Microsecond, Suspicion: &shuntguard.Suspicion{Fingerprint: 0xa7, Strikes: 1, Age: 1500 * time.Millisecond}}
	if err != nil || !reflect.DeepEqual(r, want) {
		t.Errorf("relayed request: got %+v, %v; want %+v", r, err, want)
	}
}
