package process

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// A header that arrives in pieces ends between any two of its bytes.
func TestEndOfHeaderIsFoundInAnyPieces(t *testing.T) {
	const head = "POST / HTTP/1.1\r\nA: b\r\n\r\n"
	const text = head + "body\r\n\r\n"
	for first := range len(text) {
		for second := first; second <= len(text); second++ {
			var e headerEnd
			n := 0
			for _, piece := range []string{text[:first], text[first:second], text[second:]} {
				n += e.skip([]byte(piece))
			}
			assert.Len(t, head, n, "pieces of %d and %d bytes", first, second-first)
		}
	}
}
