package conn

import (
	"bytes"
	"compress/gzip"
	"context"
	"crypto/rand"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/jsonrpc2"
)

// The JSON-RPC methods.
const (
	MethodVersion  = "version.get"  // returns the version in force
	MethodContent  = "content.get"  // returns the content of the platform's store that the requester lacks
	MethodSnapshot = "snapshot.get" // returns the state of the services scheduled by the peer
)

const (
	fetchTimeout        = 3 * time.Second
	nonceBytes          = 16
	codeNotFound        = 1 // the handler has no answer
	codeUnauthenticated = 2 // the query was not sealed by this fleet
	// maxFetchedBytes bounds a decompressed answer. It suffices for a routing table of 4 MB
	// and the entries of 50,000 upstreams, and is a small fraction of the smallest router's
	// memory.
	maxFetchedBytes = 16 << 20
	// maxQueryBytes and maxSealedAnswerBytes bound what is read of a connection. Neither side has
	// proved that it is of the fleet before its message was read whole.
	maxQueryBytes        = 64 << 10
	maxSealedAnswerBytes = 8 << 20
	// maxFetchConns bounds the connections that are served at the same time.
	maxFetchConns = 256
)

// errTooLong means that a peer sent more than is read of one connection.
var errTooLong = errors.New("the peer's message is too long")

// boundedConn is a connection of which a number of bytes may be read.
type boundedConn struct {
	net.Conn
	left    int // read by one goroutine
	tooLong atomic.Bool
}

func (c *boundedConn) Read(p []byte) (int, error) {
	if c.left == 0 {
		c.tooLong.Store(true)
		return 0, errTooLong
	}
	n, err := c.Conn.Read(p[:min(len(p), c.left)])
	c.left -= n
	return n, err
}

// ErrUnreadable means that a peer took a query, and its answer cannot be used or is not there in time.
// The same query may get the same answer again, from any peer.
var ErrUnreadable = ErrPeer.NewSubtype("unreadable")

// Query is a router's query to a peer.
type Query struct {
	Method    string
	Requester string // peer address of the requesting router
	Have      []byte // data that the requester has already, in the encoding of the method; may be empty
}

// FetchParams is a query as sent: a nonce, and as proof the query sealed with the nonce,
// which shows that the requester has the fleet's key.
type FetchParams struct {
	Nonce     []byte `json:"nonce"`
	Requester string `json:"asker"`
	Have      []byte `json:"have,omitempty"`
	Proof     []byte `json:"proof"`
}

// proof returns the message that the requester seals.
func (q Query) proof() []byte {
	return append([]byte(q.Method+" "+q.Requester+"\n"), q.Have...)
}

// Handlers maps method names to the functions that answer them. A handler returns nil when
// it has no answer, and may be called by any goroutine.
type Handlers map[string]func(Query) []byte

// FetchResult is an answer, compressed and then sealed with the query's nonce.
type FetchResult struct {
	Sealed []byte `json:"sealed"`
}

// FetchServer answers the queries of peers over JSON-RPC.
type FetchServer struct {
	listener net.Listener
	sealer   *Sealer
	handlers Handlers

	open atomic.Int64 // connections

	mu     sync.Mutex
	recent []compressedAnswer // recently compressed answers, the latest last
}

// compressedAnswer is an answer with its compressed form.
type compressedAnswer struct{ raw, gzipped []byte }

// maxRecentAnswers bounds the cached compressed answers: routers that query at the same time
// have only a few different revisions.
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
		s.serve(c)
	}
}

// serve answers the queries of a connection, unless there are too many connections.
func (s *FetchServer) serve(c net.Conn) {
	if s.open.Add(1) > maxFetchConns {
		s.open.Add(-1)
		c.Close()
		return
	}
	stream := jsonrpc2.NewBufferedStream(&boundedConn{Conn: c, left: maxQueryBytes}, jsonrpc2.VSCodeObjectCodec{})
	rpc := jsonrpc2.NewConn(context.Background(), stream, jsonrpc2.HandlerWithError(s.handle), jsonrpc2.SetLogger(discardLogger{}))
	go func() {
		<-rpc.DisconnectNotify()
		s.open.Add(-1)
	}()
}

// discardLogger drops the log lines of the JSON-RPC library; the requester receives refusals
// as errors.
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

// compressCached returns the compressed answer, which is cached for all requesters.
//
// Load pattern: a fleet starts at the same time, and a hundred routers fetch at once from
// one seed that has a fifth of a core.
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

// Fetch calls a method of a peer and returns its answer, ErrUnreadable if it is too long, or not there
// in time. The content of the answer is not validated.
func Fetch(ctx context.Context, q Query, addr string, sealer *Sealer) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	c, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, ErrPeer.Wrap(err, "fetch from %s", addr)
	}
	bounded := &boundedConn{Conn: c, left: maxSealedAnswerBytes}
	stream := jsonrpc2.NewBufferedStream(bounded, jsonrpc2.VSCodeObjectCodec{})
	rpc := jsonrpc2.NewConn(ctx, stream, jsonrpc2.HandlerWithError(rejectAll), jsonrpc2.SetLogger(discardLogger{}))
	defer rpc.Close()
	nonce := make([]byte, nonceBytes)
	rand.Read(nonce)
	var res FetchResult
	p := FetchParams{Nonce: nonce, Requester: q.Requester, Have: q.Have, Proof: sealer.Seal(q.proof(), nonce)}
	if err := rpc.Call(ctx, q.Method, p, &res); err != nil {
		if bounded.tooLong.Load() {
			return nil, ErrUnreadable.Wrap(err, "fetch from %s: %s", addr, errTooLong)
		}
		if ctx.Err() != nil {
			return nil, ErrUnreadable.Wrap(err, "fetch from %s: not there in time", addr)
		}
		return nil, ErrPeer.Wrap(err, "fetch from %s", addr)
	}
	compressed, err := sealer.Open(res.Sealed, nonce)
	if err != nil {
		return nil, err
	}
	return decompress(compressed)
}

// compress compresses an answer with gzip; packed versions are repetitive text.
func compress(raw []byte) []byte {
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	_, _ = w.Write(raw) // writing to a bytes.Buffer never fails
	_ = w.Close()
	return b.Bytes()
}

// decompress reverses compress. It returns ErrUnreadable if the result exceeds maxFetchedBytes.
func decompress(compressed []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(compressed))
	if err != nil {
		return nil, ErrUnreadable.Wrap(err, "decompress an answer")
	}
	raw, err := io.ReadAll(io.LimitReader(r, maxFetchedBytes+1))
	if err != nil {
		return nil, ErrUnreadable.Wrap(err, "decompress an answer")
	}
	if len(raw) > maxFetchedBytes {
		return nil, ErrUnreadable.New("decompressed answer has more than %d bytes", maxFetchedBytes)
	}
	return raw, nil
}

func rejectAll(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) {
	return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "this side answers nothing"}
}
