package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gorilla/mux"
)

// Engine is a stand-in model engine: it admits at once, streams words at a fixed
// pace, and can resume and cancel streams.
type Engine struct {
	Journal         Journal
	FirstTokenDelay time.Duration // to the first token
	TokenInterval   time.Duration // between tokens
	DefaultTokens   int           // of an answer without max_tokens
	CutAt           int           // connection is cut once before this event, 0 for never
	LoseAt          int           // the stream is lost before this event, 0 for never
	WrongRequestID  bool          // replies name another attempt

	leaveState
	mu      sync.Mutex
	streams map[string]*generation
	running int
}

// generation is one answer being made; it goes on while its reader is away.
type generation struct {
	began    time.Time
	total    int
	echo     string
	canceled bool
	cut      bool
	lost     bool
}

type completion struct {
	Model    string `json:"model"`
	Stream   bool   `json:"stream"`
	Max      int    `json:"max_tokens"`
	Messages []struct {
		Content string `json:"content"`
	} `json:"messages"`
}

// Handler returns the engine's routes.
func (e *Engine) Handler() http.Handler {
	e.streams = map[string]*generation{}
	r := mux.NewRouter()
	r.HandleFunc("/v1/chat/completions", e.complete).Methods(http.MethodPost)
	r.HandleFunc("/v1/streams/{id}", e.resume).Methods(http.MethodGet)
	r.HandleFunc("/v1/streams/{id}", e.cancel).Methods(http.MethodDelete)
	r.HandleFunc("/v1/load", e.load)
	r.HandleFunc("/leave", e.leave)
	r.HandleFunc("/journal", e.Journal.serve)
	return r
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	if e.refuseIfLeaving(w, r) {
		return
	}
	var c completion
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.Journal.add(r)
	id := r.Header.Get("X-Request-Id")
	g := e.begin(id, c)
	defer e.end()
	w.Header().Set("X-Request-Id", id)
	if e.WrongRequestID {
		w.Header().Set("X-Request-Id", "another")
	}
	if c.Stream {
		e.writeStream(w, r, id, g, 0)
		return
	}
	time.Sleep(e.FirstTokenDelay + e.TokenInterval*time.Duration(g.total))
	e.writeWhole(w, id, g)
}

func (e *Engine) begin(id string, c completion) *generation {
	g := &generation{began: time.Now(), total: e.DefaultTokens}
	if c.Max > 0 {
		g.total = c.Max
	}
	if len(c.Messages) > 0 {
		g.echo = c.Messages[len(c.Messages)-1].Content
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.streams[id] = g
	e.running++
	return g
}

func (e *Engine) end() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
}

// word is the i-th token of an answer; the first repeats the question, so that a
// caller can tell whose answer it has.
func (g *generation) token(i int) string {
	if i == 0 {
		return "re:" + g.echo
	}
	return " w" + strconv.Itoa(i)
}

func (e *Engine) writeWhole(w http.ResponseWriter, id string, g *generation) {
	var text strings.Builder
	for i := range g.total {
		text.WriteString(g.token(i))
	}
	writeJSON(w, map[string]any{
		"id": id, "object": "chat.completion",
		"choices": []any{map[string]any{"index": 0, "finish_reason": "stop", "message": map[string]string{"role": "assistant", "content": text.String()}}},
		"usage":   map[string]int{"completion_tokens": g.total},
	})
}

// stream sends events from a position on, at the pace of generation.
func (e *Engine) writeStream(w http.ResponseWriter, r *http.Request, id string, g *generation, from int) {
	w.Header().Set("Content-Type", "text/event-stream")
	rc := http.NewResponseController(w)
	for i := from; i <= g.total; i++ {
		if !e.waitForToken(r, g, i) {
			return
		}
		if e.breaksBefore(g, i) {
			panic(http.ErrAbortHandler)
		}
		if i == g.total {
			fmt.Fprintf(w, "id: %d\ndata: [DONE]\n\n", i)
		} else {
			fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, chunk(id, g.token(i)))
		}
		if rc.Flush() != nil {
			return
		}
	}
}

func chunk(id, text string) string {
	raw, _ := json.Marshal(map[string]any{ // strings always encode
		"id": id, "object": "chat.completion.chunk",
		"choices": []any{map[string]any{"index": 0, "delta": map[string]string{"content": text}}},
	})
	return string(raw)
}

// due waits until the i-th event has been generated; false when it will not be.
func (e *Engine) waitForToken(r *http.Request, g *generation, i int) bool {
	at := g.began.Add(e.FirstTokenDelay + e.TokenInterval*time.Duration(i))
	select {
	case <-time.After(time.Until(at)):
	case <-r.Context().Done():
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return !g.canceled
}

func (e *Engine) breaksBefore(g *generation, i int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.LoseAt > 0 && i == e.LoseAt {
		g.lost = true
		return true
	}
	if e.CutAt == 0 || i != e.CutAt || g.cut {
		return false
	}
	g.cut = true
	return true
}

func (e *Engine) resume(w http.ResponseWriter, r *http.Request) {
	id := mux.Vars(r)["id"]
	e.mu.Lock()
	g := e.streams[id]
	e.mu.Unlock()
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	from, err := strconv.Atoi(r.URL.Query().Get("from"))
	if g == nil || g.lost || err != nil || from < 0 || from > g.total {
		http.Error(w, "no such stream or position", http.StatusNotFound)
		return
	}
	e.writeStream(w, r, id, g, from)
}

func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	if g := e.streams[mux.Vars(r)["id"]]; g != nil {
		g.canceled = true
	}
	e.mu.Unlock()
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	_, _ = io.WriteString(w, "canceled\n")
}

func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	n := e.running
	e.mu.Unlock()
	writeJSON(w, map[string]int{"running": n})
}
