package shuntcommand

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/juju/errors"
	"k8s.io/klog/v2"

	"mulberryshunt.example/mulberryshunt/shuntlog"
)

// command is one command of the command line.
type command struct {
	name string
	// args shows the arguments after the flags.
	args string
	text string
	// flags registers the command's flags and returns what runs it.
	flags func(*flag.FlagSet) func(*env) error
}

// env is what a running command gets.
type env struct {
	ctx  context.Context
	args []string
	out  io.Writer
	err  io.Writer
}

// exitError carries the exit code for an error.
type exitError struct {
	code int
	err  error
}

// Error implements error.
func (e *exitError) Error() string { return e.err.Error() }

func failed(format string, args ...any) error {
	return &exitError{ExitFailed, fmt.Errorf(format, args...)}
}

func usage(format string, args ...any) error {
	return &exitError{ExitUsage, fmt.Errorf(format, args...)}
}

func unreachable(err error) error {
	return &exitError{ExitUnreachable, err}
}

// commands lists all commands, in the order of the help text.
func commands() []command {
	return []command{
		demoCommand(),
		standinCommand(),
		checkCommand(),
		renderCommand(),
		entriesCommand(),
		queryCommand(),
		loadCommand(),
		statusCommand(),
		explainCommand(),
		capacityCommand(),
		soakCommand(),
		docsCommand(),
	}
}

// Main runs the command line and returns its exit code.
func Main(args []string, out, errOut io.Writer) int {
	if len(args) == 0 || args[0] == "help" || args[0] == "-h" || args[0] == "-help" || args[0] == "--help" {
		help(out)
		if len(args) == 0 {
			return ExitUsage
		}
		return ExitOK
	}
	for _, c := range commands() {
		if c.name == args[0] {
			return c.run(args[1:], out, errOut)
		}
	}
	fmt.Fprintf(errOut, "mulberryshunt: no command %q; see mulberryshunt help\n", args[0])
	return ExitUsage
}

func help(out io.Writer) {
	fmt.Fprintln(out, "mulberryshunt: the operators' command line of a query tier over many shards")
	fmt.Fprintln(out)
	for _, c := range commands() {
		fmt.Fprintf(out, "  %-10s %s\n", c.name, c.text)
	}
	fmt.Fprintln(out, "\nmulberryshunt COMMAND -h shows the flags of a command.")
	fmt.Fprintln(out, "Exit codes: 0 done, 1 the answer is bad, 2 the command line is wrong, 3 an address did not answer.")
}

func (c command) run(args []string, out, errOut io.Writer) int {
	fs := flag.NewFlagSet(c.name, flag.ContinueOnError)
	fs.SetOutput(errOut)
	fs.Usage = func() {
		fmt.Fprintf(errOut, "usage: mulberryshunt %s [flags] %s\n%s\n", c.name, c.args, c.text)
		fs.PrintDefaults()
	}
	run := c.flags(fs)
	v := fs.Int("v", 0, "verbosity of the log on standard error: 0 none, 1 decisions on queries, 2 on each attempt")
	switch err := fs.Parse(args); {
	case errors.Is(err, flag.ErrHelp):
		return ExitOK
	case err != nil:
		return ExitUsage
	}
	setLog(*v, errOut)
	defer klog.Flush()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return exitCode(c.name, run(&env{ctx: ctx, args: fs.Args(), out: out, err: errOut}), errOut)
}

func exitCode(name string, err error, errOut io.Writer) int {
	if err == nil {
		return ExitOK
	}
	fmt.Fprintf(errOut, "mulberryshunt %s: %s\n", name, strings.TrimSpace(err.Error()))
	if e, ok := err.(*exitError); ok {
		return e.code
	}
	return ExitFailed
}

// setLog sends the log to w. Without verbosity the commands log nothing: their
// output is the answer.
func setLog(verbosity int, w io.Writer) {
	if verbosity == 0 {
		w = io.Discard
	}
	shuntlog.Setup(w, verbosity)
}

func printJSON(out io.Writer, v any) error {
	e := json.NewEncoder(out)
	e.SetIndent("", "  ")
	return e.Encode(v)
}
