package process

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against a router that keeps up with what it has accepted while requests wait in the
// kernel's queue until their callers give up.
func TestBacklogIsAsOldAsTheQueueWasNotEmpty(t *testing.T) {
	var b acceptBacklog
	now := time.Unix(1_800_000_000, 0)
	assert.Zero(t, b.age(now), "nothing was accepted yet")
	b.beforeAccept(now)
	now = now.Add(time.Second)
	assert.Zero(t, b.age(now), "it waits for a connection")
	b.afterAccept(now)
	for range 10 { // connections that are there already
		now = now.Add(20 * time.Millisecond)
		b.beforeAccept(now)
		now = now.Add(emptyBacklogWait / 10)
		b.afterAccept(now)
	}
	assert.Equal(t, 10*(20*time.Millisecond+emptyBacklogWait/10), b.age(now))
	b.beforeAccept(now)
	now = now.Add(emptyBacklogWait)
	assert.Zero(t, b.age(now), "the queue is empty")
	b.afterAccept(now)
	assert.Zero(t, b.age(now))
}
