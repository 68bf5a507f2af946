// Package inifile reads INI files strictly: every section and key is validated, unknown and
// repeated ones are rejected, and every fault names the file, the section, the key, the
// value and what is allowed.
package inifile

import (
	"fmt"
	"strings"
)

// Fault is a validation error in a file. It names the file, the section, the key, the value
// found and what is allowed.
type Fault struct {
	File    string
	Section string
	Key     string
	Value   string
	Allowed string
}

// Error returns the fault on one line.
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

// Faults are all faults found in a configuration. A configuration with any fault is rejected
// as a whole.
type Faults []Fault

// Error returns the faults, one per line.
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
