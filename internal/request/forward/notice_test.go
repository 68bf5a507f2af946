package forward

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestNoticesAreReadFromAnswers(t *testing.T) {
	answer := func(status int, header ...string) *http.Response {
		h := http.Header{}
		for i := 0; i+1 < len(header); i += 2 {
			h.Set(header[i], header[i+1])
		}
		return &http.Response{StatusCode: status, Header: h}
	}
	read := testDialect.noticeOf
	assert.Equal(t, notice{}, read(answer(200)))
	assert.Equal(t, notice{leaving: true}, read(answer(200, "X-Leaving", "1")))
	assert.Equal(t, notice{leaving: true}, read(answer(500, "X-Leaving", "1")))
	assert.Equal(t, notice{leaving: true, rest: 3 * time.Second}, read(answer(503, "X-Leaving", "1", "Retry-After", "3")))
	assert.Equal(t, notice{}, read(answer(421, "X-Leaving", "1")), "another upstream's")
	assert.Equal(t, notice{}, read(answer(200, "Retry-After", "3")), "it has not turned the request away")
	assert.Equal(t, notice{}, read(answer(200, "X-Leaving", "0")))
}

func TestRestThatCannotBeReadSaysNothing(t *testing.T) {
	for text, want := range map[string]time.Duration{"": 0, "x": 0, "-1": 0, "0": 0, "NaN": 0, "1e300": mostRest, "0.5": 500 * time.Millisecond} {
		assert.Equal(t, want, restOf(http.Header{"Retry-After": {text}}), text)
	}
}
