package standin

import (
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/gorilla/mux"
)

// Platform is a stand-in for the platform: the configuration service and the VM list.
// Routers only read from it; PUT is for operators.
type Platform struct {
	mu      sync.Mutex
	values  map[string]value
	changed chan struct{}
	down    bool
	calls   int
}

// value is a published value with its revision.
type value struct {
	raw      []byte
	revision int
}

// NewPlatform returns a platform without published values.
func NewPlatform() *Platform {
	return &Platform{values: map[string]value{}, changed: make(chan struct{})}
}

// Handler returns the platform's routes.
func (p *Platform) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/v1/values/{name}", p.get).Methods(http.MethodGet)
	r.HandleFunc("/v1/values/{name}", p.put).Methods(http.MethodPut)
	r.HandleFunc("/calls", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, map[string]int{"calls": p.Calls()}) })
	return r
}

// Publish sets a value, as an operator does, and wakes waiting readers.
func (p *Platform) Publish(name string, raw []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.values[name] = value{raw: raw, revision: p.values[name].revision + 1}
	close(p.changed)
	p.changed = make(chan struct{})
}

// SetDown makes all reads fail with status 503, or succeed again.
func (p *Platform) SetDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
}

// Calls returns the number of reads so far.
func (p *Platform) Calls() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

func (p *Platform) put(w http.ResponseWriter, r *http.Request) {
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, 1<<20))
	if err != nil {
		http.Error(w, "allowed: at most 1 MB", http.StatusRequestEntityTooLarge)
		return
	}
	p.Publish(mux.Vars(r)["name"], raw)
}

// lookup returns a value, a channel that the next Publish closes, and whether reads fail.
func (p *Platform) lookup(name string) (value, chan struct{}, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.values[name], p.changed, p.down
}

// get is a long poll: it answers at once if the value's revision differs from the one in
// the parameter after, and otherwise waits for a change, at most wait seconds.
func (p *Platform) get(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	p.calls++
	p.mu.Unlock()
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait"))
	timeout := time.After(time.Duration(wait) * time.Second)
	for {
		v, changed, down := p.lookup(mux.Vars(r)["name"])
		if down {
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
		if v.revision > 0 && r.URL.Query().Get("after") != strconv.Itoa(v.revision) {
			w.Header().Set("X-Revision", strconv.Itoa(v.revision))
			_, _ = w.Write(v.raw) // the client may have gone
			return
		}
		select {
		case <-changed:
		case <-timeout:
			w.WriteHeader(http.StatusNotModified)
			return
		case <-r.Context().Done():
			return
		}
	}
}
