package shuntcommand

import (
	"flag"
	"fmt"

	"mulberryshunt.example/mulberryshunt/shuntcapacity"
)

func capacityCommand() command {
	return command{
		name: "capacity",
		text: "work out what each role needs at a size of the fleet, from measured slopes",
		flags: func(fs *flag.FlagSet) func(*env) error {
			measure := fs.Bool("measure", false, "measure the slopes on this machine, about a minute, and print them as TOML")
			return func(e *env) error {
				s, err := shuntcapacity.Measure(e.out)
				_ = measure
				fmt.Fprintf(e.out, "%+v\n", s)
				return err
			}
		},
	}
}
