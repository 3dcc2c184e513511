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

// The wire types define the TOML form of the documents. The functions below
// convert them to and from the exported types.

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

// decodeTOML decodes body into wire. A field that wire doesn't have is an error.
func decodeTOML(k Key, body []byte, wire any) error {
	if len(body) > MaxDocumentBytes {
		return &FieldError{k, "Document", fmt.Sprintf("%d bytes", len(body)), fmt.Sprintf("is longer than %d bytes", MaxDocumentBytes)}
	}
	md, err := toml.NewDecoder(bytes.NewReader(body)).Decode(wire)
	if err != nil {
		return decodeError(k, body, err)
	}
	if unknown := md.Undecoded(); len(unknown) > 0 {
		name := unknown[0].String()
		return &FieldError{k, name, lookupValue(body, unknown[0]), "is an unknown field"}
	}
	return nil
}

// typeErrorPattern matches the library's message for a value of the wrong type.
// The library has no error type for that case.
var typeErrorPattern = regexp.MustCompile(`^toml: line \d+ \(last key "([^"]+)"\): (?:incompatible types: )?(.*)$`)

// decodeError converts an error of the TOML library to a FieldError.
func decodeError(k Key, body []byte, err error) error {
	parseErr, ok := err.(toml.ParseError)
	if !ok {
		match := typeErrorPattern.FindStringSubmatch(err.Error())
		if match == nil {
			return &FieldError{k, "Document", "", "has a wrong type: " + err.Error()}
		}
		return &FieldError{k, match[1], lookupValue(body, strings.Split(match[1], ".")), "has a wrong type: " + match[2]}
	}
	field := parseErr.LastKey
	if field == "" {
		field = "Document"
	}
	return &FieldError{k, field, fmt.Sprintf("line %d", parseErr.Position.Line), "is not right: " + parseErr.Message}
}

// lookupValue returns the value at path in body, for an error message. In an
// array of tables it takes the first table.
func lookupValue(body []byte, path toml.Key) string {
	var root map[string]any
	if _, err := toml.Decode(string(body), &root); err != nil {
		return ""
	}
	var v any = root
	for _, part := range path {
		if list, ok := v.([]map[string]any); ok && len(list) > 0 {
			v = list[0]
		}
		table, ok := v.(map[string]any)
		if !ok {
			return ""
		}
		v = table[part]
	}
	return fmt.Sprint(v)
}

// DecodeFleet decodes and validates the Fleet document.
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

// EncodeFleet returns f as TOML.
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

// DecodeService decodes and validates a Service document.
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
	for _, server := range w.Servers {
		s.Servers = append(s.Servers, Server(server))
	}
	for _, ws := range w.Snapshots {
		snapshot := Snapshot{ID: SnapshotID{ws.Version, ws.Generation}}
		for _, shard := range ws.Shards {
			snapshot.Shards = append(snapshot.Shards, Shard(shard))
		}
		s.Snapshots = append(s.Snapshots, snapshot)
	}
	return s, s.check()
}

// EncodeService returns s as TOML.
func EncodeService(s Service) []byte {
	step := s.WarmStepTime.Milliseconds()
	w := wireService{
		Slots:                s.Slots,
		Connections:          s.Connections,
		ColdBears:            &s.InitialSlots,
		WarmStepMilliseconds: &step,
		WarmStepRequests:     &s.WarmStepRequests,
	}
	for _, server := range s.Servers {
		w.Servers = append(w.Servers, wireServer(server))
	}
	for _, snapshot := range s.Snapshots {
		ws := wireSnapshot{Version: snapshot.ID.Version, Generation: snapshot.ID.Generation}
		for _, shard := range snapshot.Shards {
			ws.Shards = append(ws.Shards, wireShard(shard))
		}
		w.Snapshots = append(w.Snapshots, ws)
	}
	return encodeTOML(w)
}

func orDefault[T any](v *T, def T) T {
	if v == nil {
		return def
	}
	return *v
}

// DecodeTemplate decodes and validates a Template document.
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

// DecodeWorkspace decodes a Workspace document. It doesn't validate the
// parameters; Template.Render does.
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
		// All types passed here can be encoded as TOML.
		panic(fmt.Sprintf("encode %T: %v", v, err))
	}
	return b.Bytes()
}

// RenderTOML returns w in the form that "mulberryshunt render" prints.
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
