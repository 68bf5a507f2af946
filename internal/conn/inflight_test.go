package conn

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A restarted upstream never answers the requests of its previous start. If the network path
// was interrupted meanwhile, no reset arrives either, and without Abort the exchange keeps
// waiting.
func TestExchangesWithPreviousStartAreAborted(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	go func() {
		for {
			if _, err := l.Accept(); err != nil {
				return // it never answers
			}
		}
	}()
	p := NewExchanges()
	defer p.Close()
	ended := make(chan error, 1)
	began := make(chan bool, 1)
	go func() {
		_, err := p.Send(context.Background(), l.Addr().String(), &Message{Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{},
			UpstreamStart: "a@1", OnStart: func(*Exchange) { began <- true }}, func(*http.Response) bool { return true })
		ended <- err
	}()
	<-began
	assert.Zero(t, p.Abort("a@2"))
	assert.Equal(t, 1, p.Abort("a@1"))
	select {
	case err := <-ended:
		assert.False(t, IsNotSent(err), "it may have run")
	case <-time.After(10 * time.Second):
		t.Fatal("the exchange was not aborted")
	}
	assert.Zero(t, p.Abort("a@1"), "the exchange is removed")
}
