package shuntconfig

import (
	"bytes"
	"fmt"
	"maps"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/BurntSushi/toml"
)

// The wire types below are what TOML decodes into; the functions beside them
// map them to the domain types by hand.

type wireZone struct {
	Name, Region string
	InService    bool
}

type wireVM struct {
	Name, Zone, Cell                            string
	InService                                   bool
	CallerAddress, PeerAddress, OperatorAddress string
}

type wireFleet struct {
	Zones []wireZone
	VMs   []wireVM
}

type wireParameter struct {
	Type     string
	Default  any
	Min, Max any
}

type wireTemplate struct {
	Parameters map[string]wireParameter
	Settings   map[string]any
}

type wireWorkspace struct {
	Template   string
	Parameters map[string]any
}

type wireServer struct {
	Name, Address, Zone string
	Draining            bool
}

type wireShard struct {
	Name    string
	Servers []string
}

type wireSnapshot struct {
	Version, Generation int64
	Shards              []wireShard
}

type wireService struct {
	Slots, Connections   int
	ColdBears            *int
	WarmStepMilliseconds *int64
	WarmStepRequests     *int
	Servers              []wireServer
	Snapshots            []wireSnapshot
}

// decodeTOML decodes body strictly: a field that wire lacks is an error.
func decodeTOML(k Key, body []byte, wire any) error {
	if len(body) > MaxDocumentBytes {
		return &FieldError{k, "Document", fmt.Sprintf("%d bytes", len(body)), fmt.Sprintf("is longer than %d bytes", MaxDocumentBytes)}
	}
	md, err := toml.NewDecoder(bytes.NewReader(body)).Decode(wire)
	if err != nil {
		return decodeError(k, body, err)
	}
	if un := md.Undecoded(); len(un) > 0 {
		name := un[0].String()
		return &FieldError{k, name, undecodedValue(body, un[0]), "is an unknown field"}
	}
	return nil
}

// wrongType matches what the library says of a value of a wrong type; it has no
// type of its own for that.
var wrongType = regexp.MustCompile(`^toml: line \d+ \(last key "([^"]+)"\): (?:incompatible types: )?(.*)$`)

func decodeError(k Key, body []byte, err error) error {
	pe, ok := err.(toml.ParseError)
	if !ok {
		m := wrongType.FindStringSubmatch(err.Error())
		if m == nil {
			return &FieldError{k, "Document", "", "has a wrong type: " + err.Error()}
		}
		return &FieldError{k, m[1], undecodedValue(body, strings.Split(m[1], ".")), "has a wrong type: " + m[2]}
	}
	field := pe.LastKey
	if field == "" {
		field = "Document"
	}
	return &FieldError{k, field, fmt.Sprintf("line %d", pe.Position.Line), "is not right: " + pe.Message}
}

// undecodedValue looks up the value behind an unknown key for the error text.
func undecodedValue(body []byte, path toml.Key) string {
	var all map[string]any
	if _, err := toml.Decode(string(body), &all); err != nil {
		return ""
	}
	var v any = all
	for _, p := range path {
		if l, ok := v.([]map[string]any); ok && len(l) > 0 {
			v = l[0]
		}
		m, ok := v.(map[string]any)
		if !ok {
			return ""
		}
		v = m[p]
	}
	return fmt.Sprint(v)
}

// DecodeFleet reads and checks the Fleet document.
func DecodeFleet(d Document) (Fleet, error) {
	var w wireFleet
	if err := decodeTOML(d.Key, d.Body, &w); err != nil {
		return Fleet{}, err
	}
	f := Fleet{Version: d.Version}
	for _, z := range w.Zones {
		f.Zones = append(f.Zones, Zone(z))
	}
	for _, v := range w.VMs {
		f.VMs = append(f.VMs, VM(v))
	}
	return f, f.check()
}

// EncodeFleet writes the TOML form of f.
func EncodeFleet(f Fleet) []byte {
	var w wireFleet
	for _, z := range f.Zones {
		w.Zones = append(w.Zones, wireZone(z))
	}
	for _, v := range f.VMs {
		w.VMs = append(w.VMs, wireVM(v))
	}
	return encodeTOML(w)
}

// DecodeService reads and checks a Service document.
func DecodeService(d Document) (Service, error) {
	var w wireService
	if err := decodeTOML(d.Key, d.Body, &w); err != nil {
		return Service{}, err
	}
	_, name := d.Key.Split()
	s := Service{
		Name:             name,
		Slots:            w.Slots,
		Connections:      w.Connections,
		InitialSlots:     orDefault(w.ColdBears, DefaultInitialSlots),
		WarmStepTime:     time.Duration(orDefault(w.WarmStepMilliseconds, DefaultWarmStepTime.Milliseconds())) * time.Millisecond,
		WarmStepRequests: orDefault(w.WarmStepRequests, DefaultWarmStepRequests),
	}
	for _, v := range w.Servers {
		s.Servers = append(s.Servers, Server(v))
	}
	for _, n := range w.Snapshots {
		sn := Snapshot{ID: SnapshotID{n.Version, n.Generation}}
		for _, h := range n.Shards {
			sn.Shards = append(sn.Shards, Shard(h))
		}
		s.Snapshots = append(s.Snapshots, sn)
	}
	return s, s.check()
}

// EncodeService writes the TOML form of s.
func EncodeService(s Service) []byte {
	step := s.WarmStepTime.Milliseconds()
	w := wireService{
		Slots:                s.Slots,
		Connections:          s.Connections,
		ColdBears:            &s.InitialSlots,
		WarmStepMilliseconds: &step,
		WarmStepRequests:     &s.WarmStepRequests,
	}
	for _, v := range s.Servers {
		w.Servers = append(w.Servers, wireServer(v))
	}
	for _, n := range s.Snapshots {
		ws := wireSnapshot{Version: n.ID.Version, Generation: n.ID.Generation}
		for _, h := range n.Shards {
			ws.Shards = append(ws.Shards, wireShard(h))
		}
		w.Snapshots = append(w.Snapshots, ws)
	}
	return encodeTOML(w)
}

func orDefault[T any](v *T, d T) T {
	if v == nil {
		return d
	}
	return *v
}

// DecodeTemplate reads and checks a Template document.
func DecodeTemplate(d Document) (Template, error) {
	var w wireTemplate
	if err := decodeTOML(d.Key, d.Body, &w); err != nil {
		return Template{}, err
	}
	_, name := d.Key.Split()
	t := Template{Name: name, Parameters: map[string]Parameter{}, Settings: w.Settings}
	for _, n := range slices.Sorted(maps.Keys(w.Parameters)) {
		p, err := decodeParameter(d.Key, n, w.Parameters[n])
		if err != nil {
			return Template{}, err
		}
		t.Parameters[n] = p
	}
	return t, t.check()
}

func decodeParameter(k Key, name string, w wireParameter) (Parameter, error) {
	p := Parameter{Name: name, Type: ParameterType(w.Type), Default: w.Default}
	var err error
	if p.Min, err = decodeBound(k, "Parameters."+name+".Min", w.Min); err != nil {
		return Parameter{}, err
	}
	p.Max, err = decodeBound(k, "Parameters."+name+".Max", w.Max)
	return p, err
}

func decodeBound(k Key, field string, v any) (*float64, error) {
	if v == nil {
		return nil, nil
	}
	n, ok := asFloat(v)
	if !ok {
		return nil, &FieldError{k, field, fmt.Sprint(v), "is not a number"}
	}
	return &n, nil
}

// DecodeWorkspace reads a Workspace document; Template.Render checks its values.
func DecodeWorkspace(d Document) (WorkspaceDocument, error) {
	var w wireWorkspace
	if err := decodeTOML(d.Key, d.Body, &w); err != nil {
		return WorkspaceDocument{}, err
	}
	_, name := d.Key.Split()
	if err := checkName(d.Key, "Template", w.Template); err != nil {
		return WorkspaceDocument{}, err
	}
	return WorkspaceDocument{Name: name, Template: w.Template, Parameters: w.Parameters}, nil
}

func encodeTOML(v any) []byte {
	var b bytes.Buffer
	e := toml.NewEncoder(&b)
	e.Indent = ""
	if err := e.Encode(v); err != nil {
		// The wire types hold nothing that TOML can't write.
		panic(fmt.Sprintf("encode %T: %v", v, err))
	}
	return b.Bytes()
}

// RenderTOML writes w as operators read it in "mulberryshunt render".
func RenderTOML(w Workspace) string {
	var b strings.Builder
	fmt.Fprintf(&b, "# Workspace/%s from Template/%s\n", w.Name, w.Template)
	fmt.Fprintf(&b, "Services = [%s]\n", quoteAll(w.Services))
	fmt.Fprintf(&b, "Class = %q\n", w.Class)
	fmt.Fprintf(&b, "DeadlineMilliseconds = %d\n", w.Deadline.Milliseconds())
	fmt.Fprintf(&b, "WaitForAll = %t\n", w.WaitForAll)
	fmt.Fprintf(&b, "MinimumCoverage = %g\n", w.MinimumCoverage)
	fmt.Fprintf(&b, "HedgeQuantile = %g\n", w.HedgeQuantile)
	fmt.Fprintf(&b, "HedgeFraction = %g\n", w.HedgeFraction)
	fmt.Fprintf(&b, "RetryFraction = %g\n", w.RetryFraction)
	fmt.Fprintf(&b, "Canary = %q\n", w.Canary)
	fmt.Fprintf(&b, "MaximumConcurrent = %d\n", w.MaximumConcurrent)
	return b.String()
}

func quoteAll(ss []string) string {
	out := make([]string, len(ss))
	for i, s := range ss {
		out[i] = fmt.Sprintf("%q", s)
	}
	return strings.Join(out, ", ")
}
