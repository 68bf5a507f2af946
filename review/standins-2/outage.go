//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

// The case "outage": while one machine is partitioned from the store, the machines that read the store are
// killed, and a server leaves. The store itself serves all others all the while.

const (
	outageRounds  = 4
	outageEvery   = 24 * time.Second
	cutFor        = 5500 * time.Millisecond
	killAfter     = 3 * time.Second
	darkFor       = 2 * time.Second
	outageLeavers = 3
	outageServers = 18
	outageUsers   = 60
	readersWindow = 1300 * time.Millisecond // a reader of the store calls it every 1.15 s
	maxKilled     = 3                       // of six: a share of 0.5
)

func playOutage(p *play) int {
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
	for range outageServers {
		add()
	}
	address := strings.TrimPrefix(p.store.URL, "http://")
	var links []*link
	var stores []string
	for range 6 {
		k := newLink(address)
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
	time.Sleep(4 * time.Second) // until the readers of the store are chosen
	end := time.Now().Add(outageRounds*outageEvery + time.Second)
	var wg sync.WaitGroup
	for i := range outageUsers {
		wg.Go(func() { l.user(p, p.fleet[i%len(p.fleet)], end) })
	}
	readers := func() (list []int) {
		for i, k := range links {
			if k.wasCalled(readersWindow) && !k.isCut.Load() {
				list = append(list, i)
			}
		}
		return list
	}
	for round := range outageRounds {
		began := time.Now()
		next := began.Add(outageEvery)
		var cut int
		var killed []int
		if p.trouble {
			if list := readers(); len(list) > 0 {
				cut = list[rand.IntN(len(list))]
			}
			p.rec.line("", "round %d: %s is partitioned from the store for %s", round, p.fleet[cut].name, cutFor)
			links[cut].isCut.Store(true)
			time.Sleep(killAfter)
			killed = readers()
			if len(killed) > maxKilled {
				killed = killed[:maxKilled]
			}
			for _, i := range killed {
				p.rec.line("", "%s is killed", p.fleet[i].name)
				p.fleet[i].kill()
			}
		} else {
			time.Sleep(killAfter)
		}
		killedAt := time.Now()
		time.Sleep(200 * time.Millisecond)
		for i := range outageLeavers {
			l.leave(p, servers[i], i%2 == 1)
		}
		servers = servers[outageLeavers:]
		if p.trouble {
			time.Sleep(time.Until(killedAt.Add(darkFor)))
			for _, i := range killed {
				p.fleet[i].start()
			}
			restarted := time.Now()
			time.Sleep(time.Until(began.Add(cutFor)))
			links[cut].isCut.Store(false)
			l.mu.Lock()
			for _, i := range killed {
				l.disturbed[p.fleet[i]] = append(l.disturbed[p.fleet[i]], span{killedAt.Add(-100 * time.Millisecond), restarted})
			}
			l.disturbed[p.fleet[cut]] = append(l.disturbed[p.fleet[cut]], span{began, time.Now()})
			l.mu.Unlock()
			p.rec.line("", "%s reaches the store again, and the killed machines have started again", p.fleet[cut].name)
		}
		for range outageLeavers {
			add()
		}
		time.Sleep(time.Until(next))
	}
	wg.Wait()
	return l.judge(p)
}
