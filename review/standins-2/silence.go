//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

// The case "silence": the open connections to the store go silent for good, new ones work, and servers leave.

const (
	silenceRounds  = 9
	silenceEvery   = 11 * time.Second
	silenceServers = 30
	silenceLeavers = 5
	silenceFirst   = 1800 * time.Millisecond // from the silence to the first removal
	silenceGap     = 300 * time.Millisecond
	silenceUsers   = 60
)

func playSilence(p *play) int {
	l := newLeaving()
	p.store.Put("op/config", appConfig)
	var servers []*server
	add := func() {
		s := newServer(fmt.Sprintf("i-%08x", rand.Uint32()), 6, 24, 100*time.Millisecond)
		s.onArrive = func(s *server, id string, at time.Time) {
			l.mu.Lock()
			defer l.mu.Unlock()
			l.arrivals = append(l.arrivals, arrival{s.id, id, at})
		}
		go s.serve()
		p.store.Put("servers/"+s.id, s.entry("counter-app", "ready", 1))
		servers = append(servers, s)
	}
	for range silenceServers {
		add()
	}
	var links []*link
	var stores []string
	for range 3 {
		k := newLink(strings.TrimPrefix(p.store.URL, "http://"))
		links, stores = append(links, k), append(stores, k.addr())
	}
	p.fleet = newFleet(p.dir, stores, map[string]string{"bootstrap": "true"})
	for _, r := range p.fleet {
		r.start()
		p.rec.line("", "%s is %s", r.name, r.ip)
	}
	for _, r := range p.fleet {
		if !r.awaitReady(10 * time.Second) {
			fail(r.name + " is not ready")
		}
	}
	time.Sleep(4 * time.Second)
	end := time.Now().Add(silenceRounds*silenceEvery + time.Second)
	var wg sync.WaitGroup
	for i := range silenceUsers {
		wg.Go(func() { l.user(p, p.fleet[i%len(p.fleet)], end) })
	}
	for round := range silenceRounds {
		began := time.Now()
		if p.trouble {
			p.rec.line("", "round %d: the open connections between the machines and the store go silent", round)
			for _, k := range links {
				k.silence.Add(1)
			}
			l.mu.Lock()
			for _, r := range p.fleet {
				l.disturbed[r] = append(l.disturbed[r], span{began.Add(-time.Millisecond), time.Now()})
			}
			l.mu.Unlock()
		}
		for i := range silenceLeavers {
			time.Sleep(time.Until(began.Add(silenceFirst + time.Duration(i)*silenceGap)))
			l.leave(p, servers[i], i%2 == 1)
		}
		servers = servers[silenceLeavers:]
		for range silenceLeavers {
			add()
		}
		time.Sleep(time.Until(began.Add(silenceEvery)))
	}
	wg.Wait()
	return l.judge(p)
}
