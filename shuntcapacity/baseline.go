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

// runBaseline asks the same of a bare net/http fan-out: one request to a
// responder for each shard, the rows decoded and put together, no owner, no
// limits, no hedges. It returns the CPU of one query in microseconds.
func runBaseline(shards int) (float64, error) {
	r, err := newResponder(sampleRows())
	if err != nil {
		return 0, err
	}
	defer r.listener.Close()
	t := &http.Transport{MaxIdleConnsPerHost: askers * shards}
	defer t.CloseIdleConnections()
	c := &http.Client{Transport: t}
	fanOutFor(c, r.address(), shards, warmupTime)
	began := cpu()
	n, err := fanOutFor(c, r.address(), shards, trafficTime)
	if err != nil {
		return 0, err
	}
	return float64((cpu() - began).Microseconds()) / float64(n), nil
}

func fanOutFor(c *http.Client, address string, shards int, d time.Duration) (int64, error) {
	var n atomic.Int64
	var failure atomic.Pointer[error]
	var g sync.WaitGroup
	end := time.Now().Add(d)
	for range askers {
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
	if failure == nil && len(rows) != shards*measuredRows {
		return fmt.Errorf("%d rows of %d", len(rows), shards*measuredRows)
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

// CompareBaseline measures the whole path through an entry and owners against the bare
// fan-out, in one run, and tells the ratio of their CPU to out.
func CompareBaseline(out io.Writer) error {
	for _, shards := range []int{20, 210} {
		base, err := runBaseline(shards)
		if err != nil {
			return err
		}
		for _, vms := range []int{1, 2, 6} {
			t, err := runTraffic(shape{vms: vms, servers: shards})
			if err != nil {
				return err
			}
			fmt.Fprintf(out, "%3d shards, %d VMs: %6.0f us CPU a query, bare fan-out %6.0f us, ratio %.2f\n", shards, vms, t.perQuery(), base, t.perQuery()/base)
		}
	}
	return nil
}
