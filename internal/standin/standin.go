// Package standin provides small stand-ins for the systems that silverswitch talks to: an
// inference engine, a plain service, and the platform. They speak the protocols described
// in docs/API.md. The upstreams keep a journal of the requests that reached them. They are
// for tests, the demo and the bench only.
package standin

import (
	"encoding/json"
	"net/http"
	"sync"
)

// Entry is a request that a stand-in upstream began to run.
type Entry struct {
	Attempt      string `json:"attempt"`
	Organisation string `json:"organisation"`
	Key          string `json:"key,omitempty"`
	Path         string `json:"path"`
}

// Journal records the requests that an upstream began to run. It is safe for concurrent
// use.
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

// serve answers with the journal as JSON, for GET /journal.
func (j *Journal) serve(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, j.Entries())
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // the client may have gone
}

// leaveState refuses new requests once the upstream is leaving, with a header that proves
// that the request was not started.
type leaveState struct {
	mu      sync.Mutex
	leaving bool
}

// leave makes the upstream leave.
func (s *leaveState) leave(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
	writeJSON(w, map[string]bool{"leaving": true})
}

// refuseIfLeaving answers with a refusal and returns true if the upstream is leaving.
func (s *leaveState) refuseIfLeaving(w http.ResponseWriter, r *http.Request) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.leaving {
		return false
	}
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	w.Header().Set("X-Leaving", "true")
	w.Header().Set("X-Not-Started", "true")
	http.Error(w, "leaving", http.StatusServiceUnavailable)
	return true
}
