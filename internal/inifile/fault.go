// Package inifile reads INI files strictly: every section and key is checked,
// unknown and repeated ones are refused, and every fault names the file, the
// section, the key, the value and what would be allowed.
package inifile

import (
	"fmt"
	"strings"
)

// Fault is one thing wrong in a file. It names the file, the
// section, the key, the value found and what would have been allowed.
type Fault struct {
	File    string
	Section string
	Key     string
	Value   string
	Allowed string
}

// Error renders the fault on one line.
func (f Fault) Error() string {
	var b strings.Builder
	b.WriteString(f.File)
	if f.Section != "" {
		fmt.Fprintf(&b, ": [%s]", f.Section)
	}
	if f.Key != "" {
		fmt.Fprintf(&b, " %s = %q", f.Key, f.Value)
	}
	fmt.Fprintf(&b, ": %s", f.Allowed)
	return b.String()
}

// Faults is every fault found; what has any is rejected whole.
type Faults []Fault

// Error renders one fault a line.
func (fs Faults) Error() string {
	lines := make([]string, len(fs))
	for i, f := range fs {
		lines[i] = f.Error()
	}
	return strings.Join(lines, "\n")
}

// OrNil returns the faults as an error, or nil when there are none.
func (fs Faults) OrNil() error {
	if len(fs) == 0 {
		return nil
	}
	return fs
}
