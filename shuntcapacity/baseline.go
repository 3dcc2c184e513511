package shuntcapacity

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"mulberryshunt.example/mulberryshunt/shuntowner"
	"mulberryshunt.example/mulberryshunt/shuntquery"
)

// measureBaseline runs the same queries through a plain net/http fan-out: one
// request to a responder for each shard, with the rows decoded and collected,
// but without owners, limits or hedging. It returns the CPU time of one query in
// microseconds.
func measureBaseline(shards int) (float64, error) {
	r, err := newResponder(sampleRows())
	if err != nil {
		return 0, err
	}
	defer r.listener.Close()
	t := &http.Transport{MaxIdleConnsPerHost: concurrency * shards}
	defer t.CloseIdleConnections()
	c := &http.Client{Transport: t}
	fanOutFor(c, r.address(), shards, warmupTime)
	start := cpuTime()
	n, err := fanOutFor(c, r.address(), shards, trafficTime)
	if err != nil {
		return 0, err
	}
	return float64((cpuTime() - start).Microseconds()) / float64(n), nil
}

// fanOutFor runs queries from concurrent clients for d and returns their number.
func fanOutFor(c *http.Client, address string, shards int, d time.Duration) (int64, error) {
	var n atomic.Int64
	var failure atomic.Pointer[error]
	var g sync.WaitGroup
	end := time.Now().Add(d)
	for range concurrency {
		g.Go(func() {
			for time.Now().Before(end) {
				if err := fanOut(c, address, shards); err != nil {
					failure.Store(&err)
					return
				}
				n.Add(1)
			}
		})
	}
	g.Wait()
	if p := failure.Load(); p != nil {
		return 0, *p
	}
	return n.Load(), nil
}

// fanOut runs one query and checks the number of rows.
func fanOut(c *http.Client, address string, shards int) error {
	var mu sync.Mutex
	var rows []shuntquery.Row
	var failure error
	var g sync.WaitGroup
	for i := range shards {
		g.Go(func() {
			got, err := fetch(c, address, i)
			mu.Lock()
			defer mu.Unlock()
			rows = append(rows, got...)
			if err != nil {
				failure = err
			}
		})
	}
	g.Wait()
	if failure == nil && len(rows) != shards*rowsPerShard {
		return fmt.Errorf("got %d rows; want %d", len(rows), shards*rowsPerShard)
	}
	return failure
}

func fetch(c *http.Client, address string, shard int) ([]shuntquery.Row, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+address+shuntowner.BackendPath, strings.NewReader("find something"))
	if err != nil {
		return nil, err
	}
	req.Header.Set(shuntowner.HeaderDeadline, "30000")
	req.Header.Set(shuntowner.HeaderQuery, "q")
	req.Header.Set(shuntowner.HeaderAttempt, fmt.Sprint(shard))
	req.Header.Set(shuntowner.HeaderShard, "s")
	req.Header.Set(shuntowner.HeaderSnapshot, "1.1")
	resp, err := c.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, err
	}
	return shuntquery.DecodeRows(body)
}

// CompareBaseline measures the complete path through an entry and owners and the
// plain net/http fan-out in one run, and prints the ratio of their CPU times to
// out.
func CompareBaseline(out io.Writer) error {
	for _, shards := range []int{20, 210} {
		base, err := measureBaseline(shards)
		if err != nil {
			return err
		}
		for _, vms := range []int{1, 2, 6} {
			t, err := measureTraffic(testFleetSize{vms: vms, servers: shards})
			if err != nil {
				return err
			}
			fmt.Fprintf(out, "%3d shards, %d VMs: %6.0f us CPU a query, bare fan-out %6.0f us, ratio %.2f\n", shards, vms, t.cpuPerQuery(), base, t.cpuPerQuery()/base)
		}
	}
	return nil
}
