// Command guards is a mutation test of listed guards. For each guard it replaces the
// guard's code in a copy of the module and runs the test that covers it, which must fail.
// It is an error if the test still passes, or if the guard's code is not found.
package main

import (
	"bufio"
	"bytes"
	"flag"
	"fmt"
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
)

// guard is one entry of the list: code to replace, and the test that must then fail.
type guard struct {
	name        string
	file        string
	original    string
	replacement string
	pkg         string
	test        string
	env         string // NAME=VALUE, separated by spaces
}

func main() {
	list := flag.String("list", "docs/guards.txt", "`file` with the guards")
	only := flag.String("only", "", "run only guards whose name contains this")
	flag.Parse()
	guards, err := read(*list)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	failed := 0
	for _, g := range guards {
		if !strings.Contains(g.name, *only) {
			continue
		}
		if err := runWithout(g); err != nil {
			failed++
			fmt.Printf("NOT CAUGHT %s: %v\n", g.name, err)
		}
	}
	if failed > 0 {
		os.Exit(1)
	}
}

// read parses the list: blocks of "key: value" lines, separated by blank lines, with lines
// that begin with # as comments.
func read(path string) ([]guard, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var out []guard
	g := guard{}
	fields := map[string]*string{"name": &g.name, "file": &g.file, "from": &g.original, "to": &g.replacement, "package": &g.pkg, "test": &g.test, "env": &g.env}
	s := bufio.NewScanner(bytes.NewReader(append(raw, '\n', '\n')))
	for s.Scan() {
		line := s.Text()
		if strings.HasPrefix(line, "#") {
			continue
		}
		if line == "" {
			if g.name != "" {
				out = append(out, g)
			}
			g = guard{}
			continue
		}
		key, value, _ := strings.Cut(line, ": ")
		field := fields[strings.TrimSuffix(key, ":")]
		if field == nil {
			return nil, fmt.Errorf("%s: %q: allowed: name, file, from, to, package, test, env", path, line)
		}
		*field = value
	}
	return out, s.Err()
}

// runWithout runs a guard's test on a copy of the module without the guard, and returns an
// error unless the test fails.
func runWithout(g guard) error {
	dir, err := os.MkdirTemp("", "guard")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	if err := copyTree(dir); err != nil {
		return err
	}
	path := filepath.Join(dir, g.file)
	raw, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	if bytes.Count(raw, []byte(g.original)) != 1 {
		return fmt.Errorf("%s: the guarded code %q must occur exactly once", g.file, g.original)
	}
	if err := os.WriteFile(path, bytes.Replace(raw, []byte(g.original), []byte(g.replacement), 1), 0o644); err != nil {
		return err
	}
	cmd := exec.Command("go", "test", "-count=1", "-timeout=300s", "-run", "^"+g.test+"$", "./"+g.pkg)
	cmd.Dir = dir
	cmd.Env = append(os.Environ(), strings.Fields(g.env)...)
	out, err := cmd.CombinedOutput()
	if err == nil {
		return fmt.Errorf("%s passes without it", g.test)
	}
	if !bytes.Contains(out, []byte("--- FAIL")) && !bytes.Contains(out, []byte("panic: ")) {
		return fmt.Errorf("did not run: %s", out)
	}
	fmt.Printf("caught     %s: %s fails: %s\n", g.name, g.test, failureLine(out))
	return nil
}

// failureLine returns the line of a test's output that says what failed.
func failureLine(out []byte) string {
	for _, line := range strings.Split(string(out), "\n") {
		text := strings.TrimSpace(line)
		for _, mark := range []string{"Error:", "Messages:", "panic:", "[rapid] failed"} {
			if strings.HasPrefix(text, mark) {
				return strings.Join(strings.Fields(text), " ")
			}
		}
	}
	return "see the test"
}

// copyTree copies the parts of the module that the tests need.
func copyTree(to string) error {
	for _, root := range []string{"internal", "cmd", "platform", "go.mod", "go.sum"} {
		err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
			if err != nil {
				return err
			}
			target := filepath.Join(to, path)
			if d.IsDir() {
				return os.MkdirAll(target, 0o755)
			}
			raw, err := os.ReadFile(path)
			if err != nil {
				return err
			}
			return os.WriteFile(target, raw, 0o644)
		})
		if err != nil {
			return err
		}
	}
	return nil
}
