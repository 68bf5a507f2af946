//go:build review

// Command standins-2 plays the cases of a review: it starts routers as the deploy file says, and has the
// clients, the servers and the links that the cases need.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/silverswitch/silverswitch/platform/fake"
)

// Exit codes of a case.
const (
	held     = 0
	broken   = 1
	notRun   = 2
	maxLines = 40 // of one kind in the record
)

// record is what the case writes to record.txt.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
	lines map[string]int
}

// line writes a line; of each kind only the first ones.
func (r *record) line(kind, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines[kind]++
	if kind != "" && r.lines[kind] > maxLines {
		return
	}
	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// play is one run of a case.
type play struct {
	rec     *record
	dir     string
	trouble bool
	store   *fake.Store
	fleet   []*router
}

var current *play

// fail ends a case that could not run.
func fail(text string) {
	fmt.Fprintln(os.Stderr, text)
	if current != nil {
		current.rec.line("", "the case could not run: %s", text)
		current.end()
	}
	os.Exit(notRun)
}

// end ends what the case has started.
func (p *play) end() {
	for _, r := range p.fleet {
		r.mu.Lock()
		started := r.cmd != nil
		r.mu.Unlock()
		if started {
			r.kill()
		}
	}
	os.RemoveAll(p.dir)
}

var cases = map[string]func(*play) int{
	"zombie":  playZombie,
	"outage":  playOutage,
	"silence": playSilence,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "standins-2 CASE FOLDER")
		os.Exit(notRun)
	}
	file, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	must(err)
	dir, err := os.MkdirTemp("", "review")
	must(err)
	current = &play{rec: &record{file: file, began: time.Now(), lines: map[string]int{}}, dir: dir, trouble: os.Getenv("TROUBLE") != "0", store: fake.NewStore()}
	current.store.Set(func(s *fake.Store) { s.PageSize = 50 })
	code := cases[os.Args[1]](current)
	current.rec.line("", "exit code %d", code)
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		_ = os.CopyFS(keep, os.DirFS(dir))
	}
	current.end()
	os.Exit(code)
}
