package inifile

import (
	"fmt"
	"net/netip"
	"sort"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"
)

// loadOptions turn off the lenient parsing that would guess what an operator meant.
var loadOptions = ini.LoadOptions{
	AllowShadows:            true, // keeps duplicate keys, so that they can be rejected
	IgnoreInlineComment:     true,
	IgnoreContinuation:      true,
	SkipUnrecognizableLines: false,
	KeyValueDelimiters:      "=",
}

// Section reads one INI section, collects faults and records which keys were read, so that
// CheckUnknownKeys can reject all others.
type Section struct {
	File     string
	Name     string
	Values   map[string]string
	readKeys map[string]bool
	faults   *Faults
}

// New returns a section with given values, such as one made from a template.
func New(file, name string, values map[string]string, faults *Faults) *Section {
	return &Section{File: file, Name: name, Values: values, readKeys: map[string]bool{}, faults: faults}
}

// Parse parses a file into sections. Syntax errors and repeated keys are faults.
func Parse(file, text string, faults *Faults) []*Section {
	f, err := ini.LoadSources(loadOptions, []byte(text))
	if err != nil {
		*faults = append(*faults, Fault{File: file, Allowed: err.Error()})
		return nil
	}
	var out []*Section
	for _, raw := range f.Sections() {
		if raw.Name() == ini.DefaultSection && len(raw.Keys()) == 0 {
			continue
		}
		out = append(out, newSection(file, raw, faults))
	}
	return out
}

func newSection(file string, raw *ini.Section, faults *Faults) *Section {
	s := New(file, raw.Name(), map[string]string{}, faults)
	for _, k := range raw.Keys() {
		if len(k.ValueWithShadows()) > 1 {
			s.Fault(k.Name(), strings.Join(k.ValueWithShadows(), " | "), "the key once")
		}
		s.Values[k.Name()] = k.Value()
	}
	return s
}

// Fault adds a fault for a key of the section. An empty key stands for the whole section.
func (s *Section) Fault(key, value, allowed string) {
	*s.faults = append(*s.faults, Fault{File: s.File, Section: s.Name, Key: key, Value: value, Allowed: "allowed: " + allowed})
}

// Split returns "upstream", "card-1" for a section named "upstream card-1".
func (s *Section) Split() (kind, name string) {
	kind, name, _ = strings.Cut(s.Name, " ")
	return kind, strings.TrimSpace(name)
}

// Has reports whether the section has the key.
func (s *Section) Has(key string) bool {
	_, ok := s.Values[key]
	return ok
}

// Text returns a required, non-empty value.
func (s *Section) Text(key string) string {
	s.readKeys[key] = true
	v, ok := s.Values[key]
	if !ok || v == "" {
		s.Fault(key, v, "a value; the key is required")
	}
	return v
}

// TextOr returns a value or its default.
func (s *Section) TextOr(key, def string) string {
	s.readKeys[key] = true
	if v, ok := s.Values[key]; ok {
		return v
	}
	return def
}

// OneOf returns a value that must be one of the allowed ones.
func (s *Section) OneOf(key, def string, allowed ...string) string {
	v := s.TextOr(key, def)
	for _, a := range allowed {
		if v == a {
			return v
		}
	}
	s.Fault(key, v, "one of "+strings.Join(allowed, ", "))
	return def
}

// Boolean returns a value that must be true or false.
func (s *Section) Boolean(key string, def bool) bool {
	return s.OneOf(key, strconv.FormatBool(def), "true", "false") == "true"
}

// Integer returns a whole number from lo to hi.
func (s *Section) Integer(key string, def, lo, hi int) int {
	v := s.TextOr(key, strconv.Itoa(def))
	n, err := strconv.Atoi(v)
	if err != nil || n < lo || n > hi {
		s.Fault(key, v, fmt.Sprintf("a whole number from %d to %d", lo, hi))
		return def
	}
	return n
}

// Number returns a number from lo to hi.
func (s *Section) Number(key string, def, lo, hi float64) float64 {
	v := s.TextOr(key, strconv.FormatFloat(def, 'g', -1, 64))
	n, err := strconv.ParseFloat(v, 64)
	if err != nil || !(n >= lo && n <= hi) {
		s.Fault(key, v, fmt.Sprintf("a number from %g to %g", lo, hi))
		return def
	}
	return n
}

// Duration returns a duration, written with its unit, from lo to hi.
func (s *Section) Duration(key string, def, lo, hi time.Duration) time.Duration {
	v := s.TextOr(key, def.String())
	d, err := time.ParseDuration(v)
	if err != nil || d < lo || d > hi {
		s.Fault(key, v, fmt.Sprintf("a duration with its unit from %s to %s", lo, hi))
		return def
	}
	return d
}

// Address returns a required IP address and port.
func (s *Section) Address(key string) string {
	v := s.Text(key)
	if _, err := netip.ParseAddrPort(v); err != nil && v != "" {
		s.Fault(key, v, "an IP number and port, like 10.0.0.7:8000")
	}
	return v
}

// List returns the entries of a required comma-separated value. Empty entries are faults.
func (s *Section) List(key string) []string {
	v := s.Text(key)
	if v == "" {
		return nil
	}
	parts := strings.Split(v, ",")
	for i := range parts {
		parts[i] = strings.TrimSpace(parts[i])
		if parts[i] == "" {
			s.Fault(key, v, "names separated by single commas")
		}
	}
	return parts
}

// CheckUnknownKeys adds a fault for every key that was not read before.
func (s *Section) CheckUnknownKeys() {
	known := make([]string, 0, len(s.readKeys))
	for k := range s.readKeys {
		known = append(known, k)
	}
	sort.Strings(known)
	keys := make([]string, 0, len(s.Values))
	for k := range s.Values {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	for _, k := range keys {
		if !s.readKeys[k] {
			s.Fault(k, s.Values[k], "only the keys "+strings.Join(known, ", "))
		}
	}
}
