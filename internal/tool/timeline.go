package tool

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"sort"
	"strings"
	"time"
)

// maxLogLine is the longest log line read, in bytes.
const maxLogLine = 1 << 20

// around is how far before a request's first line and after its last one changes
// of belief at its routers are shown: the time within which they matter for it.
const timelineMargin = 3 * time.Second

// logLine is one structured line of a router.
type logLine struct {
	at      time.Time
	router  string
	message string
	fields  map[string]any
}

// explainRequest tells the story of one request from routers' logs.
func explainRequest(c *invocation, args []string) error {
	if err := c.flags.Parse(args); err != nil {
		return err
	}
	rest := c.flags.Args()
	if len(rest) == 0 {
		return errUsage
	}
	lines, err := readLogs(rest[1:])
	if err != nil {
		return err
	}
	story := timelineOf(rest[0], lines)
	if len(story) == 0 {
		return fmt.Errorf("request %s: no line in these logs; answered requests are logged by sample", rest[0])
	}
	for _, l := range story {
		fmt.Fprintln(c.out, l)
	}
	return nil
}

// readLogs reads files, or standard input when there are none.
func readLogs(paths []string) ([]logLine, error) {
	if len(paths) == 0 {
		return readLog(os.Stdin, nil)
	}
	var lines []logLine
	for _, p := range paths {
		f, err := os.Open(p)
		if err != nil {
			return nil, err
		}
		lines, err = readLog(f, lines)
		f.Close()
		if err != nil {
			return nil, fmt.Errorf("%s: %w", p, err)
		}
	}
	return lines, nil
}

// readLog appends the structured lines of a reader; whatever stands before the
// first brace of a line, and lines without one, is passed over.
func readLog(r io.Reader, lines []logLine) ([]logLine, error) {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLogLine)
	for s.Scan() {
		text := s.Text()
		i := strings.IndexByte(text, '{')
		if i < 0 {
			continue
		}
		l := logLine{fields: map[string]any{}}
		if json.Unmarshal([]byte(text[i:]), &l.fields) != nil {
			continue
		}
		l.message, _ = l.fields["message"].(string)
		l.router, _ = l.fields["router"].(string)
		at, _ := l.fields["time"].(string)
		l.at, _ = time.Parse(time.RFC3339Nano, at) // a line without a time sorts first
		lines = append(lines, l)
	}
	return lines, s.Err()
}

// timelineOf returns the lines of a request in order, with what its routers came to
// believe of themselves, their peers and the request's upstreams around it.
func timelineOf(id string, lines []logLine) []string {
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].at.Before(lines[j].at) })
	routers, upstreams, prints := map[string]bool{}, map[string]bool{}, map[any]bool{}
	var first, last time.Time
	for _, l := range lines {
		if l.fields["request"] != id {
			continue
		}
		if first.IsZero() {
			first = l.at
		}
		last = l.at
		routers[l.router] = true
		if up, ok := l.fields["upstream"].(string); ok {
			upstreams[up] = true
		}
		if print, ok := l.fields[fieldFingerprint]; ok {
			prints[print] = true
		}
	}
	if len(routers) == 0 {
		return nil
	}
	var out []string
	for _, l := range lines {
		own := l.fields["request"] == id
		if !own && !l.sameContent(prints, last) && !l.mayExplain(routers, upstreams, first, last) {
			continue
		}
		mark := " "
		if own {
			mark = "*"
		}
		out = append(out, fmt.Sprintf("%s %s %s %s%s", l.at.Format("15:04:05.000"), mark, l.router, l.message, l.otherFields(own)))
	}
	return out
}

// fieldFingerprint names the content of a request.
const fieldFingerprint = "fingerprint"

// sameContent reports whether a line, of any router and any time until the request's end,
// is about a request of the same content: another try of it, or that it is suspected to
// crash upstreams.
func (l logLine) sameContent(prints map[any]bool, last time.Time) bool {
	return prints[l.fields[fieldFingerprint]] && !l.at.After(last)
}

// concerns reports whether a line is a change of belief that may explain the
// request: of one of its routers, near it in time.
func (l logLine) mayExplain(routers, upstreams map[string]bool, first, last time.Time) bool {
	if _, ofRequest := l.fields["request"]; ofRequest || !routers[l.router] || l.message == "lines-left-out" || l.fields[fieldFingerprint] != nil {
		return false
	}
	if up, ok := l.fields["upstream"].(string); ok && !upstreams[up] {
		return false
	}
	return !l.at.Before(first.Add(-timelineMargin)) && !l.at.After(last.Add(timelineMargin))
}

// rest prints the fields that are not shown elsewhere, sorted.
func (l logLine) otherFields(own bool) string {
	var names []string
	for n := range l.fields {
		switch n {
		case "message", "router", "time", "level":
			continue
		case "request":
			if own {
				continue
			}
		}
		names = append(names, n)
	}
	sort.Strings(names)
	var b strings.Builder
	for _, n := range names {
		fmt.Fprintf(&b, " %s=%v", n, l.fields[n])
	}
	return b.String()
}
