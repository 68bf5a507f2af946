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

// maxLogLineBytes is the longest log line read.
const maxLogLineBytes = 1 << 20

// timelineMargin is how long before a request's first line and after its last one state
// changes at its routers are shown: within this time they may have affected the request.
const timelineMargin = 3 * time.Second

// logLine is one structured log line of a router.
type logLine struct {
	at      time.Time
	router  string
	message string
	fields  map[string]any
}

// explainRequest prints the timeline of a request, assembled from the logs of several
// routers.
func explainRequest(c *invocation, args []string) error {
	if err := c.flags.Parse(args); err != nil {
		return err
	}
	operands := c.flags.Args()
	if len(operands) == 0 {
		return errUsage
	}
	lines, err := readLogs(operands[1:])
	if err != nil {
		return err
	}
	timeline := timelineOf(operands[0], lines)
	if len(timeline) == 0 {
		return fmt.Errorf("request %s: no line in these logs; answered requests are logged by sample", operands[0])
	}
	for _, l := range timeline {
		fmt.Fprintln(c.out, l)
	}
	return nil
}

// readLogs reads the given files, or standard input when there are none.
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

// readLog appends the structured lines of a reader. Text before the first brace of a line
// is skipped, and so are lines without valid JSON.
func readLog(r io.Reader, lines []logLine) ([]logLine, error) {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLogLineBytes)
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

// timelineOf returns the log lines of a request in order of time, together with the lines
// of other attempts with the same content and the state changes of its routers, their
// peers and the request's upstreams around it. A star marks the request's own lines.
func timelineOf(id string, lines []logLine) []string {
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].at.Before(lines[j].at) })
	routers, upstreams, fingerprints := map[string]bool{}, map[string]bool{}, map[any]bool{}
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
			fingerprints[print] = true
		}
	}
	if len(routers) == 0 {
		return nil
	}
	var out []string
	for _, l := range lines {
		own := l.fields["request"] == id
		if !own && !l.sameContent(fingerprints, last) && !l.mayExplain(routers, upstreams, first, last) {
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

// fieldFingerprint is the log key for the fingerprint of a request's content.
const fieldFingerprint = "fingerprint"

// sameContent reports whether a line, of any router and any time until the request's end,
// is about a request with the same content: another attempt, or the suspicion that the
// content crashes upstreams.
func (l logLine) sameContent(fingerprints map[any]bool, last time.Time) bool {
	return fingerprints[l.fields[fieldFingerprint]] && !l.at.After(last)
}

// mayExplain reports whether a line is a state change that may explain what happened to
// the request: at one of its routers, about one of its upstreams or none, and near it in
// time.
func (l logLine) mayExplain(routers, upstreams map[string]bool, first, last time.Time) bool {
	if _, ofRequest := l.fields["request"]; ofRequest || !routers[l.router] || l.message == "lines-left-out" || l.fields[fieldFingerprint] != nil {
		return false
	}
	if up, ok := l.fields["upstream"].(string); ok && !upstreams[up] {
		return false
	}
	return !l.at.Before(first.Add(-timelineMargin)) && !l.at.After(last.Add(timelineMargin))
}

// otherFields formats the fields that are not shown in other columns, sorted by name.
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
