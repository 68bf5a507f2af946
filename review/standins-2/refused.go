//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"
)

// The case "refused": a server sends an answer by which it has refused a request a second time, late,
// where the answer to the next request on the connection is due.

const (
	garbleShare  = 0.03 // of the answers of a garbling server
	shedShare    = 0.45 // of the requests to the server that sheds
	garbleFor    = 5 * time.Second
	garbleEvery  = 7 * time.Second
	refusedFor   = 90 * time.Second
	refusedUsers = 45
)

// orders is what was sent, answered and run.
type orders struct {
	mu       sync.Mutex
	ran      map[string]time.Time // by request ID
	ranBy    map[string]string
	runs     map[string]int // by order
	refused  map[string]int // status by request ID
	extra    map[string]string
	statuses map[int]int
	shed     int
	extras   int
}

const appConfig = `{"version":1,"routes":[{"name":"order-post","host":"shop.example","prefix":"/orders/","kind":"non_idempotent","timeout_ms":800,"target_latency_ms":300,"priority":2,"service":"counter-app","max_attempts":1}],` +
	`"services":[{"name":"counter-app","health_path":"/health","max_conns":96}],` +
	`"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000,"tokens_per_s":390000},` +
	`"tenants":[{"name":"school","api_keys":["key-of-the-school"]}]}`

func playRefused(p *play) int {
	o := &orders{ran: map[string]time.Time{}, ranBy: map[string]string{}, runs: map[string]int{}, refused: map[string]int{}, extra: map[string]string{}, statuses: map[int]int{}}
	var garbling sync.Map
	p.store.Put("op/config", appConfig)
	var servers []*server
	for i := range 3 {
		s := newServer(fmt.Sprintf("i-%08x", rand.Uint32()), 6, 24, 60*time.Millisecond)
		faulty := i < 2 // a share of 0.6
		s.garbles = func() bool {
			_, on := garbling.Load("on")
			return on && faulty && rand.Float64() < garbleShare
		}
		sheds := i == 0 // a share of 0.2
		s.sheds = func() bool {
			_, on := garbling.Load("on")
			return on && sheds && rand.Float64() < shedShare
		}
		s.onRun = func(s *server, id, order string, at time.Time) {
			o.mu.Lock()
			defer o.mu.Unlock()
			o.ran[id], o.ranBy[id] = at, s.id
			o.runs[order]++
		}
		s.onShed = func() {
			o.mu.Lock()
			defer o.mu.Unlock()
			o.shed++
		}
		s.onExtra = func(s *server, id, late string) {
			o.mu.Lock()
			defer o.mu.Unlock()
			o.extras++
			o.extra[id] = strings.SplitN(late, "\r\n", 2)[0]
		}
		go s.serve()
		defer s.stop()
		p.store.Put("servers/"+s.id, s.entry("counter-app", "ready", 1))
		servers = append(servers, s)
		p.rec.line("", "server %s at %s, 6 slots and a queue of 24, garbles: %v, sheds: %v", s.id, s.addr, faulty && p.trouble, sheds && p.trouble)
	}
	address := strings.TrimPrefix(p.store.URL, "http://")
	p.fleet = newFleet(p.dir, slices.Repeat([]string{address}, 3), map[string]string{"bootstrap": "true"})
	for _, r := range p.fleet {
		r.start()
		p.rec.line("", "%s is %s", r.name, r.ip)
	}
	for _, r := range p.fleet {
		if !r.awaitReady(10 * time.Second) {
			fail(r.name + " is not ready")
		}
	}
	end := time.Now().Add(refusedFor)
	if p.trouble {
		go func() {
			for time.Now().Before(end) {
				garbling.Store("on", true)
				p.rec.line("", "for %s, two servers send %.0f in 100 of their answers a second time, late, and one of them sheds %.0f in 100 of its requests", garbleFor, 100*garbleShare, 100*shedShare)
				time.Sleep(garbleFor)
				garbling.Delete("on")
				time.Sleep(garbleEvery - garbleFor)
			}
		}()
	}
	var wg sync.WaitGroup
	for i := range refusedUsers {
		wg.Go(func() { o.user(p, i, end) })
	}
	wg.Wait()
	time.Sleep(time.Second) // what runs late
	return o.judge(p)
}

// user places orders. One that was not run is placed again once, as a new attempt on a new connection.
func (o *orders) user(p *play, i int, end time.Time) {
	q := &requester{router: p.fleet[i%len(p.fleet)], host: "shop.example", key: "key-of-the-school"}
	defer q.close()
	for n := 0; time.Now().Before(end); n++ {
		order := fmt.Sprintf("order-%d-%d", i, n)
		body := order + "\n" + strings.Repeat("x", 600)
		for attempt := range 2 {
			id := newID()
			out := q.send("POST", "/orders/2f", id, body, 1500*time.Millisecond)
			o.ended(id, out)
			if out.status != 503 && out.status != 429 || attempt == 1 {
				break
			}
			q.close()
			time.Sleep(min(out.after, 500*time.Millisecond))
		}
		time.Sleep(time.Duration(float64(80*time.Millisecond) * (0.5 + rand.Float64())))
	}
}

func (o *orders) ended(id string, out outcome) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.statuses[out.status]++
	switch out.status {
	case 408, 421, 429, 503:
		o.refused[id] = out.status
	}
}

func (o *orders) judge(p *play) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	p.rec.line("", "answers by status (0: none): %v", o.statuses)
	p.rec.line("", "servers refused %d requests; %d late second copies were sent", o.shed, o.extras)
	wrong, twice := 0, 0
	for id, status := range o.refused {
		if at, ran := o.ran[id]; ran {
			wrong++
			p.rec.line("wrong", "request %s got %d, and server %s ran it at %.3f s; just before, the server had sent the late copy %q", id, status, o.ranBy[id], at.Sub(p.rec.began).Seconds(), o.extra[id])
		}
	}
	for order, n := range o.runs {
		if n > 1 {
			twice++
			p.rec.line("twice", "%s ran %d times", order, n)
		}
	}
	p.rec.line("", "REFUSED: %d requests were answered with a promise not to run, and ran; %d orders ran twice so", wrong, twice)
	if wrong > 0 {
		return broken
	}
	return held
}
