package conn

import "net/http"

// CutCaller ends an answer that has begun so that the caller can't take it for a whole one. It does not
// return: it panics with http.ErrAbortHandler, by which net/http closes the connection. A caller of
// HTTP/1.0 takes that for the end of an answer without a length, so its connection is reset.
func CutCaller(w http.ResponseWriter, r *http.Request) {
	if !r.ProtoAtLeast(1, 1) {
		resetCaller(w)
	}
	panic(http.ErrAbortHandler)
}

// resetCaller resets the connection of a request, where that is possible.
func resetCaller(w http.ResponseWriter) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return // a test recorder has no connection
	}
	if l, ok := c.(interface{ SetLinger(int) error }); ok {
		_ = l.SetLinger(0) // closing resets the connection then
	}
	c.Close()
}
