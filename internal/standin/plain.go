package standin

import (
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"time"

	"github.com/gorilla/mux"
)

// Plain is a stand-in plain service. It runs repeated calls again, so that its journal
// shows them.
type Plain struct {
	Journal Journal
	Delay   time.Duration
	BreakOn string // path on which the connection is cut after the call has run

	leaveState
}

// Handler returns the service's routes.
func (p *Plain) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/leave", p.leave)
	r.HandleFunc("/journal", p.Journal.serve)
	r.PathPrefix("/").HandlerFunc(p.run)
	return r
}

func (p *Plain) run(w http.ResponseWriter, r *http.Request) {
	if p.refuseIfLeaving(w, r) {
		return
	}
	raw, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	p.Journal.add(r)
	time.Sleep(p.Delay)
	if p.BreakOn != "" && r.URL.Path == p.BreakOn {
		panic(http.ErrAbortHandler)
	}
	sum := sha256.Sum256(raw)
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	writeJSON(w, map[string]string{"path": r.URL.Path, "organisation": r.Header.Get("X-Organisation"), "body_sha256": hex.EncodeToString(sum[:])})
}
