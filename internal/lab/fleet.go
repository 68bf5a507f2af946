package lab

import (
	"fmt"
	"math"
	"strings"
	"time"

	"github.com/silverswitch/silverswitch/internal/version"
)

// Fleet describes the upstreams and organisations of a simulated fleet.
type Fleet struct {
	Places  []string
	Regions int // places are assigned to them in turn; 0 for 1
	Models  int // services; engines are assigned to them in turn; 0 for 1
	Engines int // assigned to the places in turn
	Slots   int
	Orgs    []Org
}

// Org describes an organisation.
type Org struct {
	Name   string
	Places []string // nil for all
	Share  float64  // 0 for 1
	Unit   version.Unit
	Worth  float64
	Hint   int
}

// Load returns the fleet's configuration as a version, built by the loader that routers
// use.
func (f Fleet) Load(revision uint64) *version.Version {
	p := version.Packed{Revision: revision, Files: map[string]string{version.FleetFile: f.fleetText()}}
	p.Files["templates/all.ini"] = `[template]
name = all
parameters = places, share, unit, worth, hint
[organisation]
places = ${places}
share = ${share}
queue_limit = 100000
[application order]
service = model0
idempotent = false
priority = urgent
unit = ${unit}
worth = ${worth}
timeout = 1m
` + f.chatText()
	for i, o := range f.Orgs {
		p.Files[fmt.Sprintf("organisations/%s.ini", o.Name)] = f.orgText(i, o)
	}
	raw, err := p.Encode()
	if err != nil {
		panic(err)
	}
	v, err := version.Load(raw)
	if err != nil {
		panic(err)
	}
	return v
}

// chatText returns the configuration of one application for each model: chat, chat1, chat2
// and so on.
func (f Fleet) chatText() string {
	var b strings.Builder
	for i := range max(1, f.Models) {
		fmt.Fprintf(&b, "[application %s]\nservice = model%d\nidempotent = true\nhint_tokens = ${hint}\nunit = ${unit}\nworth = ${worth}\ntimeout = 2h\n", ChatApplication(i), i)
	}
	return b.String()
}

// ChatApplication returns the name of the application that calls the i-th model.
func ChatApplication(i int) string {
	if i == 0 {
		return "chat"
	}
	return fmt.Sprintf("chat%d", i)
}

// fleetText returns the configuration of the places, services and upstreams.
func (f Fleet) fleetText() string {
	var b strings.Builder
	for i, p := range f.Places {
		fmt.Fprintf(&b, "[place %s]\nregion = r%d\n", p, i%max(1, f.Regions))
	}
	for i := range max(1, f.Models) {
		fmt.Fprintf(&b, "[service model%d]\n", i)
	}
	for i := range f.Engines {
		fmt.Fprintf(&b, "[upstream e%d]\nservice = model%d\nplace = %s\naddress = 127.0.0.1:%d\nslots = %d\n",
			i, i%max(1, f.Models), f.Places[i%len(f.Places)], 20000+i, f.Slots)
	}
	return b.String()
}

// orgText returns the configuration of an organisation.
func (f Fleet) orgText(i int, o Org) string {
	if o.Places == nil {
		o.Places = f.Places
	}
	if o.Share == 0 {
		o.Share = 1
	}
	if o.Unit == "" {
		o.Unit = version.UnitTokens
	}
	if o.Worth == 0 {
		o.Worth = 400
	}
	return fmt.Sprintf("[organisation]\nname = %s\ntemplate = all\nkey_sha256 = %064x\n[parameters]\nplaces = %s\nshare = %g\nunit = %s\nworth = %g\nhint = %d\n",
		o.Name, i+1, strings.Join(o.Places, ","), o.Share, o.Unit, o.Worth, o.Hint)
}

// The lengths of answers, in tokens, are lognormal with a mean near 465.
const (
	MaxAnswerTokens = 4096
	answerLogMean   = 5.6
	answerLogSigma  = 1.04
)

// AnswerTokens draws the length of an answer.
func (w *World) AnswerTokens() int {
	n := math.Exp(answerLogMean + answerLogSigma*w.rnd.NormFloat64())
	return int(min(max(n, 1), MaxAnswerTokens))
}

const (
	callerTimeout = time.Hour             // deadline of each request
	retryDelay    = 50 * time.Millisecond // before a closed-loop caller retries a refused request
)

// KeepOpen runs closed-loop callers that keep a number of requests open at the given hosts
// for the rest of the simulation. A caller whose host is down uses another one.
func (w *World) KeepOpen(o *version.Organisation, app string, open int, hosts []int) {
	for i := range open {
		w.runCaller(o, app, hosts, i)
	}
}

// runCaller sends one request of a closed-loop caller, and the next one when it ends.
func (w *World) runCaller(o *version.Organisation, app string, hosts []int, i int) {
	h := w.hostFor(o, hosts, i)
	if h == nil {
		w.After(time.Second, func() { w.runCaller(o, app, hosts, i) })
		return
	}
	finished := false
	next := func() {
		if !finished {
			finished = true
			w.runCaller(o, app, hosts, i)
		}
	}
	w.Submit(h, o, app, w.AnswerTokens(), callerTimeout, nil, func(j *Job) {
		if j.Refused != "" {
			w.After(retryDelay, next)
			return
		}
		next()
	})
	w.onHostKill(h, next)
}

// onHostKill registers a function to call when a host is killed.
func (w *World) onHostKill(h *Host, next func()) {
	h.onKill = append(h.onKill, next)
}

// hostFor returns a host that is up and in an allowed place, preferably one of hosts, or
// nil.
func (w *World) hostFor(o *version.Organisation, hosts []int, i int) *Host {
	for k := range hosts {
		if h := w.Hosts[w.Order[hosts[(i+k)%len(hosts)]]]; h.Up && o.Allows(h.Place) {
			return h
		}
	}
	for k := range w.Order {
		if h := w.Hosts[w.Order[(i+k)%len(w.Order)]]; h.Up && o.Allows(h.Place) {
			return h
		}
	}
	return nil
}

// Meter measures the gap in service between backlogged organisations, and the utilisation
// of slots.
type Meter struct {
	Gap        float64                // largest gap so far, in largest requests, each service divided by its share
	usedSlots  float64                // summed over samples
	totalSlots float64                // summed over samples
	base       map[version.ID]float64 // service when the meter started
}

// Utilisation returns the ratio of used slots to all slots.
func (m *Meter) Utilisation() float64 { return m.usedSlots / m.totalSlots }

// StartMeter starts a meter that samples every second. value returns each organisation's
// service, as a multiple of the largest request.
func (w *World) StartMeter(orgs []*version.Organisation, slots int, value func() map[version.ID]float64) *Meter {
	m := &Meter{base: value()}
	var sample func()
	sample = func() {
		m.sample(orgs, value())
		for _, n := range w.Running {
			m.usedSlots += float64(n)
		}
		m.totalSlots += float64(slots)
		w.After(time.Second, sample)
	}
	w.After(time.Second, sample)
	return m
}

// sample updates the gap with the service at the current time.
func (m *Meter) sample(orgs []*version.Organisation, now map[version.ID]float64) {
	lo, hi := math.Inf(1), math.Inf(-1)
	for _, o := range orgs {
		v := (now[o.ID] - m.base[o.ID]) / o.Share
		lo, hi = min(lo, v), max(hi, v)
	}
	m.Gap = max(m.Gap, hi-lo)
}

// TokenService returns the tokens generated for each organisation, as a multiple of the
// largest request.
func (w *World) TokenService() map[version.ID]float64 {
	out := w.Service()
	for id := range out {
		out[id] /= MaxAnswerTokens
	}
	return out
}
