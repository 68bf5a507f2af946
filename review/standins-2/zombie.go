//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The case "zombie": servers leave while a machine of the system starts again behind a link that loses
// packets.

const (
	zombieServers = 63
	zombieRounds  = 12
	zombieEvery   = 9 * time.Second
	lossShare     = 0.03
	lossyFor      = 1500 * time.Millisecond
	leaversEach   = 10
	leaveGap      = 60 * time.Millisecond
	lingerFor     = 10 * time.Second // how long a server serves on after its entry was removed
	zombieUsers   = 90
)

// appConfig is the configuration of all cases: orders that may run once, at a plain service.
const appConfig = `{"version":1,"routes":[{"name":"order-post","host":"shop.example","prefix":"/orders/","kind":"non_idempotent","timeout_ms":800,"target_latency_ms":300,"priority":2,"service":"counter-app","max_attempts":1}],` +
	`"services":[{"name":"counter-app","health_path":"/health","max_conns":96}],` +
	`"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000,"tokens_per_s":390000},` +
	`"tenants":[{"name":"school","api_keys":["key-of-the-school"]}]}`

// arrival is a request that has reached a server.
type arrival struct {
	server, id string
	at         time.Time
}

// leaving is what the case has seen.
type leaving struct {
	mu        sync.Mutex
	removed   map[string]time.Time // when the store had acknowledged that a server is draining or gone
	sentTo    map[string]*router   // by request ID
	sentAt    map[string]time.Time
	arrivals  []arrival
	statuses  map[int]int
	statusOf  map[string]int
	disturbed map[*router][]span
}

// span is a disturbance.
type span struct{ from, to time.Time }

func newLeaving() *leaving {
	return &leaving{removed: map[string]time.Time{}, sentTo: map[string]*router{}, sentAt: map[string]time.Time{}, statuses: map[int]int{}, statusOf: map[string]int{}, disturbed: map[*router][]span{}}
}

func playZombie(p *play) int {
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
	for range zombieServers {
		add()
	}
	address := strings.TrimPrefix(p.store.URL, "http://")
	toStore := newLink(address)
	p.fleet = newFleet(p.dir, []string{address, address, toStore.addr()}, map[string]string{"bootstrap": "true"})
	for _, r := range p.fleet {
		r.start()
		p.rec.line("", "%s is %s", r.name, r.ip)
	}
	for _, r := range p.fleet {
		if !r.awaitReady(10 * time.Second) {
			fail(r.name + " is not ready")
		}
	}
	last := p.fleet[len(p.fleet)-1]
	end := time.Now().Add(zombieRounds*zombieEvery + time.Second)
	var wg sync.WaitGroup
	for i := range zombieUsers {
		wg.Go(func() { l.user(p, p.fleet[i%len(p.fleet)], end) })
	}
	for round := range zombieRounds {
		next := time.Now().Add(zombieEvery)
		began := time.Now()
		if p.trouble {
			toStore.lose(lossShare)
			p.rec.line("", "round %d: for %s the link between %s and the store loses %.0f in 100 packets; %s is killed and starts again", round, lossyFor, last.name, 100*lossShare, last.name)
			last.signal(syscall.SIGKILL)
			<-last.ended
			time.Sleep(300 * time.Millisecond)
			last.start()
		}
		for i := range leaversEach {
			l.leave(p, servers[i], i%2 == 1)
			time.Sleep(leaveGap)
		}
		servers = servers[leaversEach:]
		time.Sleep(time.Until(began.Add(lossyFor)))
		toStore.lose(0)
		l.mu.Lock()
		if p.trouble {
			l.disturbed[last] = append(l.disturbed[last], span{began, time.Now()})
		}
		l.mu.Unlock()
		for range leaversEach {
			add()
		}
		time.Sleep(time.Until(next))
	}
	wg.Wait()
	p.rec.line("", "%d packets were lost", toStore.delayed.Load())
	return l.judge(p)
}

// leave makes a server leave. One that drains reports it first, and its entry is removed after the time to
// drain; for any other one the removal is the first sign. Either serves on for a while.
func (l *leaving) leave(p *play, s *server, drains bool) {
	said := "gone"
	if drains {
		said = "draining"
		p.store.Put("servers/"+s.id, s.entry("counter-app", "draining", 2))
		time.AfterFunc(drainBound, func() { p.store.Put("servers/"+s.id, nil) })
	} else {
		p.store.Put("servers/"+s.id, nil)
	}
	now := time.Now()
	l.mu.Lock()
	l.removed[s.id] = now
	l.mu.Unlock()
	p.rec.line("", "the store has acknowledged that server %s is %s", s.id, said)
	time.AfterFunc(lingerFor, s.stop)
}

// user sends requests to a machine, each as soon as the one before has its answer.
func (l *leaving) user(p *play, r *router, end time.Time) {
	q := &requester{router: r, host: "shop.example", key: "key-of-the-school"}
	defer q.close()
	for time.Now().Before(end) {
		id := newID()
		l.mu.Lock()
		l.sentTo[id], l.sentAt[id] = r, time.Now()
		l.mu.Unlock()
		out := q.send("POST", "/orders/2f", id, "order of "+id+"\n", 1500*time.Millisecond)
		l.mu.Lock()
		l.statuses[out.status]++
		l.statusOf[id] = out.status
		l.mu.Unlock()
		pause := 40 * time.Millisecond
		if out.err != nil {
			pause = 200 * time.Millisecond
		}
		time.Sleep(time.Duration(float64(pause) * (0.5 + rand.Float64())))
	}
}

// inTouch reports whether a machine was in touch at a time, for all of contact before it.
func (l *leaving) inTouch(r *router, at time.Time) bool {
	for _, d := range l.disturbed[r] {
		if at.After(d.from) && at.Before(d.to.Add(contact)) {
			return false
		}
	}
	return true
}

func (l *leaving) judge(p *play) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	p.rec.line("", "answers by status (0: none): %v", l.statuses)
	late, early, lost := 0, 0, 0
	for _, a := range l.arrivals {
		gone, left := l.removed[a.server]
		r := l.sentTo[a.id]
		if !left || r == nil || a.at.Before(gone.Add(drainBound)) {
			continue
		}
		if !l.inTouch(r, l.sentAt[a.id]) || !l.inTouch(r, a.at) {
			early++
			continue
		}
		late++
		if l.statusOf[a.id] != 200 {
			lost++
			p.rec.line("lost", "request %s had reached that server and got %d (0: none)", a.id, l.statusOf[a.id])
		}
		p.rec.line("late", "request %s, taken by %s, in touch, reached server %s at %.3f s, %.3f s after the store had acknowledged that it leaves", a.id, r.name, a.server, a.at.Sub(p.rec.began).Seconds(), a.at.Sub(gone).Seconds())
	}
	p.rec.line("", "DRAIN: %d requests reached a server later than %s after it had left, from machines in touch (%d more from machines out of touch); %d of them got no success", late, drainBound, early, lost)
	if late > 0 {
		return broken
	}
	return held
}
