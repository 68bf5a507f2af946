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

// An upstream that has started again answers nothing that its former start was asked.
// Where the path was cut meanwhile no reset says so: the exchange is ended here.
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
		t.Fatal("the exchange went on")
	}
	assert.Zero(t, p.Abort("a@1"), "nothing is left behind")
}
