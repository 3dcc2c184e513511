package shuntconfig

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// ParameterType is the type of a template parameter.
type ParameterType string

// The parameter types.
const (
	TypeString     ParameterType = "String"
	TypeInteger    ParameterType = "Integer"
	TypeFloat      ParameterType = "Float"
	TypeBoolean    ParameterType = "Boolean"
	TypeStringList ParameterType = "StringList"
)

// Parameter is a value that the workspaces of a template can or must give.
type Parameter struct {
	Name string
	Type ParameterType
	// Default is nil if the workspace must give the value.
	Default any
	// Min and Max are inclusive bounds of Integer and Float values; nil means
	// no bound.
	Min, Max *float64
}

// Template holds settings that several workspaces share. A setting whose value
// is "${Name}" takes the value of the parameter Name.
type Template struct {
	Name       string
	Parameters map[string]Parameter
	Settings   map[string]any
}

// WorkspaceDocument is a published workspace before its template is applied.
type WorkspaceDocument struct {
	Name       string
	Template   string
	Parameters map[string]any
}

// parameterReference returns the parameter that v refers to, if v has the form
// "${Name}".
func parameterReference(v any) (string, bool) {
	s, ok := v.(string)
	if !ok || !strings.HasPrefix(s, "${") || !strings.HasSuffix(s, "}") {
		return "", false
	}
	return s[2 : len(s)-1], true
}

func (t Template) check() error {
	k := MakeKey(KindTemplate, t.Name)
	for _, n := range slices.Sorted(maps.Keys(t.Parameters)) {
		if err := t.Parameters[n].check(k); err != nil {
			return err
		}
	}
	for _, n := range slices.Sorted(maps.Keys(t.Settings)) {
		if _, ok := findWorkspaceSetting(n); !ok {
			return &FieldError{k, "Settings." + n, fmt.Sprint(t.Settings[n]), "is an unknown field"}
		}
		p, ok := parameterReference(t.Settings[n])
		if !ok {
			continue
		}
		if _, ok := t.Parameters[p]; !ok {
			return &FieldError{k, "Settings." + n, p, "is not among Parameters"}
		}
	}
	return nil
}

func (p Parameter) check(k Key) error {
	field := "Parameters." + p.Name
	if err := checkName(k, "Parameters", p.Name); err != nil {
		return err
	}
	switch p.Type {
	case TypeString, TypeInteger, TypeFloat, TypeBoolean, TypeStringList:
	default:
		return &FieldError{k, field + ".Type", string(p.Type), "is not String, Integer, Float, Boolean or StringList"}
	}
	if p.Default == nil {
		return nil
	}
	return p.checkValue(k, field+".Default", p.Default)
}

// checkValue returns a FieldError unless v has the type of p and is within its
// bounds.
func (p Parameter) checkValue(k Key, field string, v any) error {
	typeErr := &FieldError{k, field, fmt.Sprint(v), "is not of type " + string(p.Type)}
	switch p.Type {
	case TypeString:
		if _, ok := v.(string); !ok {
			return typeErr
		}
	case TypeBoolean:
		if _, ok := v.(bool); !ok {
			return typeErr
		}
	case TypeInteger:
		n, ok := v.(int64)
		if !ok {
			return typeErr
		}
		return p.checkBounds(k, field, float64(n))
	case TypeFloat:
		n, ok := asFloat(v)
		if !ok {
			return typeErr
		}
		return p.checkBounds(k, field, n)
	case TypeStringList:
		if _, ok := asStrings(v); !ok {
			return typeErr
		}
	}
	return nil
}

func (p Parameter) checkBounds(k Key, field string, n float64) error {
	if p.Min != nil && !(n >= *p.Min) {
		return &FieldError{k, field, fmt.Sprint(n), fmt.Sprintf("is below the minimum %g", *p.Min)}
	}
	if p.Max != nil && !(n <= *p.Max) {
		return &FieldError{k, field, fmt.Sprint(n), fmt.Sprintf("is above the maximum %g", *p.Max)}
	}
	return nil
}

// asFloat returns v as a float. TOML numbers without a fraction decode to int64.
func asFloat(v any) (float64, bool) {
	switch n := v.(type) {
	case float64:
		return n, true
	case int64:
		return float64(n), true
	}
	return 0, false
}

// asStrings returns v as a list of strings. TOML arrays decode to []any.
func asStrings(v any) ([]string, bool) {
	switch list := v.(type) {
	case []string:
		return list, true
	case []any:
		out := make([]string, 0, len(list))
		for _, element := range list {
			s, ok := element.(string)
			if !ok {
				return nil, false
			}
			out = append(out, s)
		}
		return out, true
	}
	return nil, false
}

// Render returns the workspace that d defines: the settings of t with the
// parameters of d filled in, and defaults for the other settings.
func (t Template) Render(d WorkspaceDocument) (Workspace, error) {
	k := MakeKey(KindWorkspace, d.Name)
	values, err := t.parameterValues(k, d)
	if err != nil {
		return Workspace{}, err
	}
	w := defaultWorkspace()
	w.Name = d.Name
	w.Template = t.Name
	for _, n := range slices.Sorted(maps.Keys(t.Settings)) {
		v := t.Settings[n]
		if p, ok := parameterReference(v); ok {
			v = values[p]
		}
		s, ok := findWorkspaceSetting(n)
		if !ok {
			return Workspace{}, &FieldError{k, n, fmt.Sprint(v), "is an unknown field"}
		}
		if problem := s.set(&w, v); problem != "" {
			return Workspace{}, &FieldError{k, n, fmt.Sprint(v), problem}
		}
	}
	return w, w.check()
}

// parameterValues returns the value of each parameter of t: the one that d gives,
// or the default.
func (t Template) parameterValues(k Key, d WorkspaceDocument) (map[string]any, error) {
	for _, n := range slices.Sorted(maps.Keys(d.Parameters)) {
		if _, ok := t.Parameters[n]; !ok {
			return nil, &FieldError{k, "Parameters." + n, fmt.Sprint(d.Parameters[n]), "is no parameter of template " + t.Name}
		}
	}
	out := map[string]any{}
	for _, n := range slices.Sorted(maps.Keys(t.Parameters)) {
		p := t.Parameters[n]
		v, ok := d.Parameters[n]
		if !ok {
			v = p.Default
		}
		if v == nil {
			return nil, &FieldError{k, "Parameters." + n, "", "is missing; template " + t.Name + " has no default for it"}
		}
		if err := p.checkValue(k, "Parameters."+n, v); err != nil {
			return nil, err
		}
		out[n] = v
	}
	return out, nil
}
