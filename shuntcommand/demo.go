package shuntcommand

import (
	"flag"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"mulberryshunt.example/mulberryshunt/shuntdemo"
	"mulberryshunt.example/mulberryshunt/shuntfake"
)

const defaultDemoDuration = 20 * time.Second

func demoCommand() command {
	return command{
		name:    "demo",
		summary: "run everything on loopback: stand-ins, six VMs, callers, and operators who take a zone out",
		setup: func(fs *flag.FlagSet) func(*env) error {
			users := fs.String("users", "cooperative", "installation to simulate: cooperative or franchise")
			seed := fs.Uint64("seed", 1, "seed of the stand-ins and callers")
			duration := fs.Duration("duration", defaultDemoDuration, "how long callers send queries")
			asJSON := fs.Bool("json", false, "print JSON")
			return func(e *env) error { return runDemo(e, *users, *seed, *duration, *asJSON) }
		},
	}
}

func runDemo(e *env, users string, seed uint64, duration time.Duration, asJSON bool) error {
	estate, ok := shuntfake.Estates()[users]
	if !ok {
		return usageError("-users: %q is not one of %s", users, strings.Join(slices.Sorted(maps.Keys(shuntfake.Estates())), ", "))
	}
	if duration < time.Second {
		return usageError("-duration: %q is shorter than 1s", duration)
	}
	c := shuntdemo.Config{Estate: estate, Seed: seed, Duration: duration}
	if !asJSON {
		c.Progress = e.out
	}
	r, err := shuntdemo.Run(e.ctx, c)
	if err != nil {
		return err
	}
	if err := printDemo(e.out, r, asJSON); err != nil {
		return err
	}
	if n := r.Violations.Total(); n > 0 {
		return failedError("%d promises broken", n)
	}
	return nil
}

func printDemo(out io.Writer, r shuntdemo.Report, asJSON bool) error {
	if asJSON {
		return printJSON(out, r)
	}
	r.Print(out)
	return nil
}
