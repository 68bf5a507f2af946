//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

const (
	liRequesters = 40
	liBefore     = 5 * time.Second
	liAfter      = 8 * time.Second
	liApply      = 2 * time.Second // config_apply_ms
	liHeader     = 24 << 10        // bytes of a long request header
)

// limits lets the operator raise max_header_bytes while requesters keep their connections. Once
// the new version is in force everywhere, some requests have headers that only it allows.
func limits(c *caseRun) (bool, error) {
	low, high := map[string]any{"max_header_bytes": 16384}, map[string]any{"max_header_bytes": 32768}
	first := high
	if c.trouble {
		first = low
	}
	c.store.put("op/config", config(1, "xano55b", "non_idempotent", 1, 1500*time.Millisecond, 500*time.Millisecond, first))
	for i := range 3 {
		if _, err := newServer(fmt.Sprintf("i-7f3a91c%d", i), "xano55b", 12, 8, around(15*time.Millisecond), c.led, c.store); err != nil {
			return false, err
		}
	}
	f, err := newFleet(3, c.dir, c.store, 0, bounds, c.rec)
	if err != nil {
		return false, err
	}
	defer f.stop()
	if !f.awaitReady(15 * time.Second) {
		return false, fmt.Errorf("the routers don't become ready")
	}
	start := time.Now()
	allowed := start.Add(liBefore + liApply)
	end := allowed.Add(liAfter)
	var wg sync.WaitGroup
	for i := range liRequesters {
		wg.Go(func() {
			q := &requester{number: i, fleet: f, led: c.led, host: host, key: apiKey, retries: 1}
			defer q.close()
			for time.Now().Before(end) {
				in := request{path: path, body: make([]byte, 600), budget: 1500 * time.Millisecond}
				if time.Now().After(allowed.Add(time.Second)) && rand.IntN(5) == 0 {
					in.extra = "X-Context: " + strings.Repeat("a", liHeader) + "\r\n"
				}
				q.do(in)
				time.Sleep(time.Duration(50+rand.IntN(100)) * time.Millisecond)
			}
		})
	}
	time.Sleep(liBefore)
	if c.trouble {
		c.store.put("op/config", config(2, "xano55b", "non_idempotent", 1, 1500*time.Millisecond, 500*time.Millisecond, high))
		c.rec.say("the store has acknowledged version 2 with max_header_bytes %v", high["max_header_bytes"])
	}
	wg.Wait()
	denied, status := 0, map[int]int{}
	for _, a := range c.led.attempts() {
		status[a.status]++
		if a.status >= 300 && a.status < 500 && a.status != 408 && a.status != 421 && a.status != 429 {
			denied++
		}
	}
	allowedDenials := 5 + len(c.led.attempts())/500
	c.rec.say("answers by status: %v; denied though proper: %d (the rule allows %d)", status, denied, allowedDenials)
	return denied > allowedDenials, nil
}
