// Package standin holds small stand-ins for the systems silverswitch meets: a
// model engine, a plain service, and the platform. They speak the protocols that
// docs/API.md describes, keep a journal of what reached them, and serve tests,
// the demo and the bench only.
package standin

import (
	"encoding/json"
	"net/http"
	"sync"
)

// Entry is one request that began to run at a stand-in upstream.
type Entry struct {
	Attempt      string `json:"attempt"`
	Organisation string `json:"organisation"`
	Key          string `json:"key,omitempty"`
	Path         string `json:"path"`
}

// Journal is what reached an upstream. It may be used by any goroutine.
type Journal struct {
	mu      sync.Mutex
	entries []Entry
}

func (j *Journal) add(r *http.Request) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.entries = append(j.entries, Entry{
		Attempt:      r.Header.Get("X-Request-Id"),
		Organisation: r.Header.Get("X-Organisation"),
		Key:          r.Header.Get("Idempotency-Key"),
		Path:         r.URL.Path,
	})
}

// Entries returns a copy of the journal.
func (j *Journal) Entries() []Entry {
	j.mu.Lock()
	defer j.mu.Unlock()
	return append([]Entry(nil), j.entries...)
}

// serve shows the journal at GET /journal.
func (j *Journal) serve(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, j.Entries())
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // the reader may be gone
}

// gate turns new work away once the upstream is leaving, with proof that it did
// not start.
type leaveState struct {
	mu      sync.Mutex
	leaving bool
}

func (g *leaveState) leave(w http.ResponseWriter, _ *http.Request) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leaving = true
	writeJSON(w, map[string]bool{"leaving": true})
}

func (g *leaveState) refuseIfLeaving(w http.ResponseWriter, r *http.Request) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.leaving {
		return false
	}
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	w.Header().Set("X-Leaving", "true")
	w.Header().Set("X-Not-Started", "true")
	http.Error(w, "leaving", http.StatusServiceUnavailable)
	return true
}
