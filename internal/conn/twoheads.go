package conn

import (
	"errors"
	"net/http"
	"strings"
)

// ErrTwoHeads is the error for an answer that begins within the head of another one.
var ErrTwoHeads = errors.New("the answer's head has the status line of another answer in one of its lines")

// HasTwoHeads reports whether a status line stands within a line of an answer's head: the upstream
// broke off another answer there. Status and headers are then those of two answers.
func HasTwoHeads(res *http.Response) bool {
	if hasStatusLine(res.Status) {
		return true
	}
	for _, values := range res.Header {
		for _, v := range values {
			if hasStatusLine(v) {
				return true
			}
		}
	}
	return false
}

// hasStatusLine reports whether a text has the beginning of a status line, as in "HTTP/1.1 200".
func hasStatusLine(text string) bool {
	for {
		_, rest, ok := strings.Cut(text, "HTTP/1.")
		if !ok {
			return false
		}
		if len(rest) >= 5 && rest[1] == ' ' && areDigits(rest[:1]+rest[2:5]) {
			return true
		}
		text = rest
	}
}

func areDigits(text string) bool {
	return strings.Trim(text, "0123456789") == ""
}
