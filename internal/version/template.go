package version

import (
	"fmt"
	"regexp"
	"sort"
	"strings"

	"github.com/silverswitch/silverswitch/internal/inifile"
)

// placeholder matches the use of a parameter in a template's value, like ${name}.
var placeholder = regexp.MustCompile(`\$\{([a-z][a-z0-9_]*)\}`)

// template is a template for organisations, before its parameters are substituted.
type template struct {
	file     string
	name     string
	extends  string
	declared []string
	sections map[string]map[string]string // raw values by section name and key
	resolved bool
}

func (l *loader) loadTemplate(file string) {
	t := &template{file: file, sections: map[string]map[string]string{}}
	for _, s := range inifile.Parse(file, l.packed.Files[file], &l.faults) {
		kind, name := s.Split()
		switch {
		case s.Name == "template":
			t.name = s.Text("name")
			t.extends = s.TextOr("extends", "")
			if s.Has("parameters") {
				t.declared = s.List("parameters")
			}
			s.CheckUnknownKeys()
		case s.Name == "organisation", kind == "application" && name != "":
			t.sections[s.Name] = s.Values
		default:
			s.Fault("", "", "sections [template], [organisation] and [application NAME]")
		}
	}
	if t.name == "" {
		l.fault(file, "template", "name", "", "a value; the key is required")
		return
	}
	if other := l.templates[t.name]; other != nil {
		l.fault(file, "template", "name", t.name, "a name that "+other.file+" does not have")
		return
	}
	l.templates[t.name] = t
}

// resolveTemplates merges each template with the one it extends and reports cycles.
func (l *loader) resolveTemplates() {
	for _, name := range sortedNames(l.templates) {
		l.resolve(l.templates[name], nil)
	}
}

func (l *loader) resolve(t *template, path []string) {
	if t.resolved {
		return
	}
	for _, seen := range path {
		if seen == t.name {
			l.fault(t.file, "template", "extends", t.extends, "no cycle: "+strings.Join(append(path, t.name), " -> "))
			t.resolved = true
			return
		}
	}
	if t.extends != "" {
		base := l.templates[t.extends]
		if base == nil {
			l.fault(t.file, "template", "extends", t.extends, "a template: "+nameList(l.templates))
		} else {
			l.resolve(base, append(path, t.name))
			t.inherit(base)
		}
	}
	t.resolved = true
	l.checkDeclared(t)
}

// inherit adds the parameters and the values of base that t does not set itself.
func (t *template) inherit(base *template) {
	t.declared = append(t.declared, base.declared...)
	for name, values := range base.sections {
		if t.sections[name] == nil {
			t.sections[name] = map[string]string{}
		}
		for k, v := range values {
			if _, own := t.sections[name][k]; !own {
				t.sections[name][k] = v
			}
		}
	}
}

// checkDeclared reports parameters that are used but not declared, and the reverse.
func (l *loader) checkDeclared(t *template) {
	declared := map[string]bool{}
	for _, p := range t.declared {
		declared[p] = true
	}
	used := map[string]bool{}
	for sec, values := range t.sections {
		for k, v := range values {
			for _, m := range placeholder.FindAllStringSubmatch(v, -1) {
				used[m[1]] = true
				if !declared[m[1]] {
					l.fault(t.file, sec, k, v, "parameters declared in [template] parameters: "+nameList(declared))
				}
			}
		}
	}
	for p := range declared {
		if !used[p] {
			l.fault(t.file, "template", "parameters", p, "only parameters that the template uses")
		}
	}
	sort.SliceStable(l.faults, func(i, j int) bool { return l.faults[i].Error() < l.faults[j].Error() })
}

// applyTemplate substitutes an organisation's parameters in its template and reads the
// result.
func (l *loader) applyTemplate(o *Organisation, t *template, file string, params *inifile.Section) {
	values := map[string]string{}
	if params != nil {
		values = params.Values
	}
	l.checkParameters(t, file, values)
	fill := func(raw string) string {
		return placeholder.ReplaceAllStringFunc(raw, func(m string) string { return values[m[2:len(m)-1]] })
	}
	o.Applications = map[string]*Application{}
	for _, name := range sortedNames(t.sections) {
		s := l.fillSection(t, file, name, fill)
		kind, app := s.Split()
		if kind == "application" {
			o.Applications[app] = l.readApplication(s, app)
		} else {
			l.readOrganisation(s, o)
		}
		s.CheckUnknownKeys()
	}
	if t.sections["organisation"] == nil {
		l.fault(t.file, "organisation", "", "", "the section; it is required")
	}
	if len(o.Applications) == 0 {
		l.fault(t.file, "application", "", "", "at least one application")
	}
}

// checkParameters reports missing and unknown parameters of an organisation.
func (l *loader) checkParameters(t *template, file string, values map[string]string) {
	declared := map[string]bool{}
	for _, p := range t.declared {
		declared[p] = true
		if values[p] == "" {
			l.fault(file, "parameters", p, "", fmt.Sprintf("a value; template %s requires it", t.name))
		}
	}
	for _, p := range strings.Split(nameList(values), ", ") {
		if p != "" && !declared[p] {
			l.fault(file, "parameters", p, values[p], fmt.Sprintf("only the parameters of template %s: %s", t.name, nameList(declared)))
		}
	}
}

// fillSection returns a template's section with the parameters substituted. Its faults name
// the organisation's file, since that is where the operator set the parameters.
func (l *loader) fillSection(t *template, file, name string, fill func(string) string) *inifile.Section {
	s := inifile.New(file+" (template "+t.file+")", name, map[string]string{}, &l.faults)
	for k, v := range t.sections[name] {
		s.Values[k] = fill(v)
	}
	return s
}

func (l *loader) readOrganisation(s *inifile.Section, o *Organisation) {
	o.Places = map[string]bool{}
	for _, p := range s.List("places") {
		if l.version.Places[p] == nil {
			s.Fault("places", p, "a place of "+FleetFile+": "+nameList(l.version.Places))
		}
		o.Places[p] = true
	}
	o.Share = s.Number("share", 1, minShare, maxShare)
	o.QueueLimit = s.Integer("queue_limit", defaultQueueLimit, 1, maxQueueLimit)
}

func (l *loader) readApplication(s *inifile.Section, name string) *Application {
	a := &Application{
		Name:       name,
		Service:    s.Text("service"),
		Idempotent: s.Boolean("idempotent", false),
		Priority:   Priority(s.OneOf("priority", string(PriorityNormal), string(PriorityNormal), string(PriorityUrgent))),
		HintTokens: s.Integer("hint_tokens", 0, 0, maxHintTokens),
		Unit:       Unit(s.OneOf("unit", string(UnitTokens), string(UnitTokens), string(UnitAnswered))),
		Worth:      s.Number("worth", defaultWorth, 0, maxWorth),
		Timeout:    s.Duration("timeout", defaultTimeout, minTimeout, maxTimeout),
	}
	if l.version.Services[a.Service] == nil {
		s.Fault("service", a.Service, "a service of "+FleetFile+": "+nameList(l.version.Services))
	}
	return a
}
