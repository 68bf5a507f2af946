// Package caller reads the organisation and the terms of a request from its headers alone,
// so that the place rule is applied before any content is read.
package caller

import (
	"crypto/sha256"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/silverswitch/silverswitch/internal/request/outcome"
	"github.com/silverswitch/silverswitch/internal/version"
)

// Headers by which a caller sets the terms of a request.
const (
	HeaderKey      = "Idempotency-Key"
	HeaderTimeout  = "Request-Timeout" // seconds, a decimal number
	HeaderPriority = "Priority"        // RFC 9218, u=0 to u=7
)

const (
	maxRequestIDBytes = 128
	maxUrgentUrgency  = 2 // u=0 to u=2 are served first within the organisation's share
	minTimeout        = 10 * time.Millisecond
	maxTimeout        = 2 * time.Hour
)

// Terms are the terms of one request, read from its headers.
type Terms struct {
	ID      string // the caller's request id, or a new one
	Key     string // idempotency key, or ""
	Timeout time.Duration
	Urgent  bool
}

// Authenticate returns the organisation that the request's API key belongs to.
func Authenticate(v *version.Version, r *http.Request) (*version.Organisation, error) {
	scheme, key, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") || key == "" {
		return nil, outcome.BadRequest(http.StatusUnauthorized, outcome.ReasonKey, "Authorization: allowed: Bearer and the organisation's API key")
	}
	o := v.ByKeyHash(sha256.Sum256([]byte(strings.TrimSpace(key))))
	if o == nil {
		return nil, outcome.BadRequest(http.StatusUnauthorized, outcome.ReasonKey, "the API key belongs to no organisation")
	}
	return o, nil
}

// RequestID returns the caller's request id. If it is missing, too long or not printable, a
// new one is returned.
func RequestID(r *http.Request) string {
	id := r.Header.Get(outcome.HeaderRequestID)
	if id == "" || len(id) > maxRequestIDBytes || !isPrintable(id) {
		return uuid.Must(uuid.NewV7()).String()
	}
	return id
}

func isPrintable(s string) bool {
	for i := range len(s) {
		if s[i] <= ' ' || s[i] > '~' {
			return false
		}
	}
	return true
}

// Read returns the request's terms.
func Read(r *http.Request, id string) (Terms, error) {
	t := Terms{ID: id, Key: r.Header.Get(HeaderKey)}
	if text := r.Header.Get(HeaderTimeout); text != "" {
		sec, err := strconv.ParseFloat(text, 64)
		d := time.Duration(sec * float64(time.Second))
		if err != nil || !(d >= minTimeout && d <= maxTimeout) {
			return t, badHeader(HeaderTimeout, text, fmt.Sprintf("seconds from %g to %g", minTimeout.Seconds(), maxTimeout.Seconds()))
		}
		t.Timeout = d
	}
	if text := r.Header.Get(HeaderPriority); text != "" {
		u, err := parseUrgency(text)
		if err != nil {
			return t, badHeader(HeaderPriority, text, "u=0 to u=7")
		}
		t.Urgent = u <= maxUrgentUrgency
	}
	return t, nil
}

// parseUrgency returns the u parameter of a Priority header; the default is 3.
func parseUrgency(text string) (int, error) {
	for _, part := range strings.Split(text, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if name != "u" {
			continue
		}
		n, err := strconv.Atoi(value)
		if err != nil || n < 0 || n > 7 {
			return 0, fmt.Errorf("urgency %q", value)
		}
		return n, nil
	}
	return maxUrgentUrgency + 1, nil
}

func badHeader(name, value, allowed string) outcome.Failure {
	return outcome.BadRequest(http.StatusBadRequest, outcome.ReasonHeader, fmt.Sprintf("%s = %q: allowed: %s", name, value, allowed))
}
