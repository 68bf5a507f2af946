package forward

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// The headers' deadline is parsed as before for every text, by whichever of the two parsers.
func TestDeadlineTexts(t *testing.T) {
	const def = 10 * time.Second
	for text, want := range map[string]time.Duration{
		"0": 0, "1": time.Millisecond, "9000": 9 * time.Second, "10000": def, "10001": def, "0012": 12 * time.Millisecond, "1.5": 1500 * time.Microsecond, "9e3": 9 * time.Second,
		"": def, "-1": def, "abc": def, "12 ": def, "+5": 5 * time.Millisecond, "99999999999999999999": def, "NaN": def, "Inf": def,
	} {
		assert.Equal(t, want, testDialect.deadline(http.Header{"X-Left-Ms": {text}}, def), "%q", text)
	}
}
