//go:build review

package main

import (
	"encoding/base64"
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in of the platform's metadata store with the calls that PROTOCOL.md
// describes: kv-range and kv-watch. It keeps its whole history, which is shorter than
// history_s allows it to drop.
type store struct {
	addr     string
	mu       sync.Mutex
	items    map[string]storeItem
	history  []storeItem
	revision uint64
	changed  chan struct{}
}

type storeItem struct {
	Key      string `json:"key"`
	Value    string `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease"`
	Removed  bool   `json:"removed,omitempty"`
}

const storePageItems = 500

func newStore() (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{addr: l.Addr().String(), items: map[string]storeItem{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("/silverswitch/kv-range", s.serveRange)
	mux.HandleFunc("/silverswitch/kv-watch", s.serveWatch)
	go func() { _ = http.Serve(l, mux) }()
	return s, nil
}

// put writes a value as JSON and returns the time of the acknowledgement; nil removes the key.
func (s *store) put(key string, value any) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	it := storeItem{Key: key, Revision: s.revision, Created: s.revision}
	if old, known := s.items[key]; known {
		it.Created = old.Created
	}
	if value == nil {
		it.Removed, it.Created = true, 0
		delete(s.items, key)
	} else {
		raw, err := json.Marshal(value)
		if err != nil {
			panic(err)
		}
		it.Value = base64.StdEncoding.EncodeToString(raw)
		s.items[key] = it
	}
	s.history = append(s.history, it)
	close(s.changed)
	s.changed = make(chan struct{})
	return time.Now()
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := r.URL.Query()
	var keys []string
	for k := range s.items {
		if strings.HasPrefix(k, q.Get("prefix")) && k > q.Get("after") {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	items := []storeItem{}
	for _, k := range keys[:min(len(keys), storePageItems)] {
		items = append(items, s.items[k])
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "more_pages": len(keys) > storePageItems, "as_of": s.revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	w.Header().Set("Content-Type", "application/json")
	for ended := false; ; {
		s.mu.Lock()
		events := []storeItem{}
		for _, it := range s.history {
			if it.Revision > after && strings.HasPrefix(it.Key, q.Get("prefix")) {
				events = append(events, it)
			}
		}
		asOf, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || ended {
			_ = json.NewEncoder(w).Encode(map[string]any{"events": events, "as_of": asOf})
			return
		}
		select {
		case <-changed:
		case <-end:
			ended = true
		case <-r.Context().Done():
			return
		}
	}
}
