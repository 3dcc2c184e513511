package shuntcapacity

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/BurntSushi/toml"
	"github.com/juju/errors"
)

// wireSlopes is the TOML form of Slopes.
type wireSlopes struct {
	QueryMicroseconds, SubRequestMicroseconds, BatchMicroseconds float64
	InFlightBytes                                                float64
	BeatMicroseconds, BeatBytes                                  float64
	IdleMicroseconds, ServerMicroseconds                         float64
	PeerBytes                                                    float64
	DocumentBytes, ChangeMicroseconds                            float64
}

// DecodeSlopes decodes the TOML that EncodeSlopes writes. file is used in error
// messages.
func DecodeSlopes(file string, body []byte) (Slopes, error) {
	var w wireSlopes
	md, err := toml.Decode(string(body), &w)
	if err != nil {
		return Slopes{}, errors.Annotate(err, file)
	}
	if un := md.Undecoded(); len(un) > 0 {
		return Slopes{}, errors.Errorf("%s: %s: is an unknown field", file, un[0])
	}
	return Slopes(w), nil
}

// EncodeSlopes writes slopes as TOML.
func EncodeSlopes(out io.Writer, s Slopes) error {
	return toml.NewEncoder(out).Encode(wireSlopes(s))
}

// PrintText prints lines as a table for a terminal.
func PrintText(out io.Writer, lines []Line) {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "ROLE\tWHAT\tVALUE\tMECHANISM\tDOES NOT FIT")
	for _, l := range lines {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\n", l.Role, l.Quantity, l.Value, l.Mechanism, l.Warning)
	}
	_ = t.Flush()
}

// Markdown returns lines as a Markdown table.
func Markdown(lines []Line) string {
	var b strings.Builder
	b.WriteString("| Role | What | At this size | Mechanism | Does not fit |\n|---|---|---|---|---|\n")
	for _, l := range lines {
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %s |\n", l.Role, l.Quantity, l.Value, l.Mechanism, l.Warning)
	}
	return b.String()
}
