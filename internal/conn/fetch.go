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

	"github.com/silverswitch/silverswitch/internal/version"
)

// The JSON-RPC methods.
const (
	MethodVersion  = "version.get"  // returns the version in force
	MethodSnapshot = "snapshot.get" // returns the state of the services that the peer schedules
)

const (
	fetchTimeout = 3 * time.Second
	nonceBytes   = 16
	codeNone     = 1 // no version in force
	codeSealed   = 2 // the question was not sealed by this fleet
)

// FetchParams is the question: a nonce, and the method with the asker's name sealed to it,
// which proves that the asker has the fleet's key.
type FetchParams struct {
	Nonce []byte `json:"nonce"`
	Asker string `json:"asker"` // peer address
	Proof []byte `json:"proof"`
}

// proofOf is what the asker seals.
func proofOf(method, asker string) []byte { return []byte(method + " " + asker) }

// Served are the methods that a peer answers: each returns what the asker is given, or nil
// for nothing. They are called by any goroutine.
type Served map[string]func(asker string) []byte

// FetchResult is a packed version, compressed, then sealed and bound to the question's nonce.
type FetchResult struct {
	Sealed []byte `json:"sealed"`
}

// FetchServer answers peers that ask for the version in force.
type FetchServer struct {
	listener net.Listener
	sealer   *Sealer
	served   Served

	mu         sync.Mutex
	raw, small []byte // what was compressed last, and the result
}

// ServeFetch listens on the peer address over TCP.
func ServeFetch(addr string, sealer *Sealer, served Served) (*FetchServer, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, ErrPeer.Wrap(err, "listen on %q", addr)
	}
	s := &FetchServer{listener: l, sealer: sealer, served: served}
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
		jsonrpc2.NewConn(context.Background(), stream, jsonrpc2.HandlerWithError(s.handle), jsonrpc2.SetLogger(quiet{}))
	}
}

// quiet drops the library's own log lines; refusals are errors to the asker.
type quiet struct{}

func (quiet) Printf(string, ...any) {}

func (s *FetchServer) handle(_ context.Context, _ *jsonrpc2.Conn, r *jsonrpc2.Request) (any, error) {
	get := s.served[r.Method]
	if get == nil || r.Params == nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "unknown method " + r.Method}
	}
	var p FetchParams
	if err := unmarshal(*r.Params, &p); err != nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
	}
	if proof, err := s.sealer.Open(p.Proof, p.Nonce); err != nil || !bytes.Equal(proof, proofOf(r.Method, p.Asker)) {
		return nil, &jsonrpc2.Error{Code: codeSealed, Message: "not sealed with this fleet's key"}
	}
	raw := get(p.Asker)
	if raw == nil {
		return nil, &jsonrpc2.Error{Code: codeNone, Message: r.Method + ": there is none"}
	}
	return FetchResult{Sealed: s.sealer.Seal(s.compressed(raw), p.Nonce)}, nil
}

// compressed compresses a version once for all who ask. Load pattern: a fleet starts
// together, and a hundred routers fetch from one seed of a fifth of a core at once.
func (s *FetchServer) compressed(raw []byte) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !bytes.Equal(raw, s.raw) {
		s.raw, s.small = raw, compress(raw)
	}
	return s.small
}

// Close stops listening.
func (s *FetchServer) Close() error { return s.listener.Close() }

// Fetch reads what a method of a peer returns. The bytes are not yet checked.
func Fetch(ctx context.Context, method, asker, addr string, sealer *Sealer) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	c, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, ErrPeer.Wrap(err, "fetch from %s", addr)
	}
	stream := jsonrpc2.NewBufferedStream(c, jsonrpc2.VSCodeObjectCodec{})
	rpc := jsonrpc2.NewConn(ctx, stream, jsonrpc2.HandlerWithError(refuseAll), jsonrpc2.SetLogger(quiet{}))
	defer rpc.Close()
	nonce := make([]byte, nonceBytes)
	rand.Read(nonce)
	var res FetchResult
	p := FetchParams{Nonce: nonce, Asker: asker, Proof: sealer.Seal(proofOf(method, asker), nonce)}
	if err := rpc.Call(ctx, method, p, &res); err != nil {
		return nil, ErrPeer.Wrap(err, "fetch from %s", addr)
	}
	small, err := sealer.Open(res.Sealed, nonce)
	if err != nil {
		return nil, err
	}
	return expand(small)
}

// compress makes a packed version small; it is text that repeats itself.
func compress(raw []byte) []byte {
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	_, _ = w.Write(raw) // a bytes.Buffer takes everything
	_ = w.Close()
	return b.Bytes()
}

// expand undoes compress, within the bound of a packed version.
func expand(small []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(small))
	if err != nil {
		return nil, ErrPeer.Wrap(err, "expand a version")
	}
	raw, err := io.ReadAll(io.LimitReader(r, version.MaxPacked+1))
	if err != nil {
		return nil, ErrPeer.Wrap(err, "expand a version")
	}
	if len(raw) > version.MaxPacked {
		return nil, ErrPeer.New("version of more than %d bytes", version.MaxPacked)
	}
	return raw, nil
}

func refuseAll(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) {
	return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "this side answers nothing"}
}
