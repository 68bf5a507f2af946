package conn

import (
	"bytes"
	"compress/gzip"
	"context"
	"crypto/rand"
	"io"
	"net"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"
)

// The JSON-RPC methods.
const (
	MethodVersion  = "version.get"  // returns the version in force
	MethodContent  = "content.get"  // returns what the asker lacks of the platform's store
	MethodSnapshot = "snapshot.get" // returns the state of the services that the peer schedules
)

const (
	fetchTimeout        = 3 * time.Second
	nonceBytes          = 16
	codeNotFound        = 1 // no version in force
	codeUnauthenticated = 2 // the question was not sealed by this fleet
	// maxFetchedBytes bounds what an answer expands to: a routing table of 4 MB and the entries
	// of 50,000 upstreams, and a small part of the smallest router's memory.
	maxFetchedBytes = 16 << 20
)

// Question is what a router asks of a peer.
type Query struct {
	Method    string
	Requester string // peer address
	Have      []byte // what the asker holds already, as the method reads it; may be empty
}

// FetchParams is a question as it is sent: a nonce, and the question sealed to it, which
// proves that the asker has the fleet's key.
type FetchParams struct {
	Nonce     []byte `json:"nonce"`
	Requester string `json:"asker"`
	Have      []byte `json:"have,omitempty"`
	Proof     []byte `json:"proof"`
}

// proof is what the asker seals.
func (q Query) proof() []byte {
	return append([]byte(q.Method+" "+q.Requester+"\n"), q.Have...)
}

// Served are the methods that a peer answers: each returns what the asker is given, or nil
// for nothing. They are called by any goroutine.
type Handlers map[string]func(Query) []byte

// FetchResult is an answer, compressed, then sealed and bound to the question's nonce.
type FetchResult struct {
	Sealed []byte `json:"sealed"`
}

// FetchServer answers peers that ask for the version in force.
type FetchServer struct {
	listener net.Listener
	sealer   *Sealer
	handlers Handlers

	mu     sync.Mutex
	recent []compressedAnswer // what was compressed lately, the latest last
}

// packed is an answer and its compressed form.
type compressedAnswer struct{ raw, gzipped []byte }

// maxRecentAnswers is how many compressed answers are kept: routers that ask at the same time
// hold a few different revisions.
const maxRecentAnswers = 4

// ServeFetch listens on the peer address over TCP.
func ServeFetch(addr string, sealer *Sealer, handlers Handlers) (*FetchServer, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, ErrPeer.Wrap(err, "listen on %q", addr)
	}
	s := &FetchServer{listener: l, sealer: sealer, handlers: handlers}
	go s.accept()
	return s, nil
}

func (s *FetchServer) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		if err := c.SetDeadline(time.Now().Add(fetchTimeout)); err != nil {
			c.Close()
			continue
		}
		stream := jsonrpc2.NewBufferedStream(c, jsonrpc2.VSCodeObjectCodec{})
		jsonrpc2.NewConn(context.Background(), stream, jsonrpc2.HandlerWithError(s.handle), jsonrpc2.SetLogger(discardLogger{}))
	}
}

// quiet drops the library's own log lines; refusals are errors to the asker.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}

func (s *FetchServer) handle(_ context.Context, _ *jsonrpc2.Conn, r *jsonrpc2.Request) (any, error) {
	get := s.handlers[r.Method]
	if get == nil || r.Params == nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "unknown method " + r.Method}
	}
	var p FetchParams
	if err := unmarshal(*r.Params, &p); err != nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
	}
	q := Query{Method: r.Method, Requester: p.Requester, Have: p.Have}
	if proof, err := s.sealer.Open(p.Proof, p.Nonce); err != nil || !bytes.Equal(proof, q.proof()) {
		return nil, &jsonrpc2.Error{Code: codeUnauthenticated, Message: "not sealed with this fleet's key"}
	}
	raw := get(q)
	if raw == nil {
		return nil, &jsonrpc2.Error{Code: codeNotFound, Message: r.Method + ": there is none"}
	}
	return FetchResult{Sealed: s.sealer.Seal(s.compressCached(raw), p.Nonce)}, nil
}

// compressed compresses an answer once for all who ask. Load pattern: a fleet starts
// together, and a hundred routers fetch from one seed of a fifth of a core at once.
func (s *FetchServer) compressCached(raw []byte) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.recent {
		if bytes.Equal(raw, p.raw) {
			return p.gzipped
		}
	}
	p := compressedAnswer{raw, compress(raw)}
	if len(s.recent) == maxRecentAnswers {
		s.recent = s.recent[1:]
	}
	s.recent = append(s.recent, p)
	return p.gzipped
}

// Close stops listening.
func (s *FetchServer) Close() error { return s.listener.Close() }

// Fetch reads what a method of a peer returns. The bytes are not yet checked.
func Fetch(ctx context.Context, q Query, addr string, sealer *Sealer) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	c, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, ErrPeer.Wrap(err, "fetch from %s", addr)
	}
	stream := jsonrpc2.NewBufferedStream(c, jsonrpc2.VSCodeObjectCodec{})
	rpc := jsonrpc2.NewConn(ctx, stream, jsonrpc2.HandlerWithError(rejectAll), jsonrpc2.SetLogger(discardLogger{}))
	defer rpc.Close()
	nonce := make([]byte, nonceBytes)
	rand.Read(nonce)
	var res FetchResult
	p := FetchParams{Nonce: nonce, Requester: q.Requester, Have: q.Have, Proof: sealer.Seal(q.proof(), nonce)}
	if err := rpc.Call(ctx, q.Method, p, &res); err != nil {
		return nil, ErrPeer.Wrap(err, "fetch from %s", addr)
	}
	small, err := sealer.Open(res.Sealed, nonce)
	if err != nil {
		return nil, err
	}
	return decompress(small)
}

// compress makes a packed version small; it is text that repeats itself.
func compress(raw []byte) []byte {
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	_, _ = w.Write(raw) // a bytes.Buffer takes everything
	_ = w.Close()
	return b.Bytes()
}

// expand undoes compress, within a bound.
func decompress(small []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(small))
	if err != nil {
		return nil, ErrPeer.Wrap(err, "expand an answer")
	}
	raw, err := io.ReadAll(io.LimitReader(r, maxFetchedBytes+1))
	if err != nil {
		return nil, ErrPeer.Wrap(err, "expand an answer")
	}
	if len(raw) > maxFetchedBytes {
		return nil, ErrPeer.New("answer of more than %d bytes", maxFetchedBytes)
	}
	return raw, nil
}

func rejectAll(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) {
	return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "this side answers nothing"}
}
