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

// Engine is a stand-in inference engine. It starts every request at once, streams tokens at
// a fixed rate, and supports resuming and cancelling streams.
type Engine struct {
	Journal         Journal
	FirstTokenDelay time.Duration
	TokenInterval   time.Duration
	DefaultTokens   int  // length of an answer without max_tokens
	CutAt           int  // cut the connection once before this event; 0 for never
	LoseAt          int  // cut the connection before this event and forget the stream; 0 for never
	WrongRequestID  bool // answer with another request's X-Request-Id

	leaveState
	mu      sync.Mutex
	streams map[string]*generation
	running int
}

// generation is an answer being generated. It continues while no client is connected.
type generation struct {
	startedAt time.Time
	total     int
	echo      string
	canceled  bool
	cut       bool
	lost      bool
}

// completion is the body of a chat completion request.
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

// begin registers the generation of a request.
func (e *Engine) begin(id string, c completion) *generation {
	g := &generation{startedAt: time.Now(), total: e.DefaultTokens}
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

// token returns the i-th token of an answer. The first one repeats the last message, so
// that a caller can check that the answer belongs to its request.
func (g *generation) token(i int) string {
	if i == 0 {
		return "re:" + g.echo
	}
	return " w" + strconv.Itoa(i)
}

// writeWhole writes the whole answer as one JSON object.
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

// writeStream sends the events from a position on, each when its token is generated.
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

// waitForToken waits until the i-th token is generated. It returns false if the client has
// gone or the stream is canceled.
func (e *Engine) waitForToken(r *http.Request, g *generation, i int) bool {
	at := g.startedAt.Add(e.FirstTokenDelay + e.TokenInterval*time.Duration(i))
	select {
	case <-time.After(time.Until(at)):
	case <-r.Context().Done():
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return !g.canceled
}

// breaksBefore reports whether the connection is to be cut before the i-th event, and
// records that it was.
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
