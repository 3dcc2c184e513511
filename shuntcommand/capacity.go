package shuntcommand

import (
	"flag"
	"os"

	"mulberryshunt.example/mulberryshunt/shuntcapacity"
)

func capacityCommand() command {
	return command{
		name:      "capacity",
		usageArgs: "[SLOPES-FILE]",
		summary:   "work out what each role needs at a size of the fleet, from measured slopes",
		setup: func(fs *flag.FlagSet) func(*env) error {
			measure := fs.Bool("measure", false, "measure the slopes on this machine, which takes about a minute, and print them as TOML")
			compare := fs.Bool("compare", false, "compare the CPU time of the complete path with that of a plain net/http fan-out")
			markdown := fs.Bool("markdown", false, "print the table as Markdown")
			today := fs.Bool("today", false, "use the size of a present installation instead of the target size")
			cell := fs.Int("cell", 0, "VMs in a cell; 0 uses the number that belongs to the size")
			return func(e *env) error {
				if *compare {
					return shuntcapacity.CompareBaseline(e.out)
				}
				if *measure {
					return runMeasure(e)
				}
				size := shuntcapacity.Target()
				if *today {
					size = shuntcapacity.Today()
				}
				if *cell > 0 {
					size.CellVMs = *cell
				}
				return runCapacity(e, size, *markdown)
			}
		},
	}
}

func runMeasure(e *env) error {
	s, err := shuntcapacity.Measure(e.out)
	if err != nil {
		return err
	}
	return shuntcapacity.EncodeSlopes(e.out, s)
}

func runCapacity(e *env, size shuntcapacity.Size, markdown bool) error {
	if len(e.args) != 1 {
		return usageError("give the file with the slopes, such as docs/slopes.toml")
	}
	body, err := os.ReadFile(e.args[0])
	if err != nil {
		return usageError("%v", err)
	}
	s, err := shuntcapacity.DecodeSlopes(e.args[0], body)
	if err != nil {
		return usageError("%v", err)
	}
	lines := size.Lines(s)
	if markdown {
		_, err := e.out.Write([]byte(shuntcapacity.Markdown(lines)))
		return err
	}
	shuntcapacity.PrintText(e.out, lines)
	return nil
}
