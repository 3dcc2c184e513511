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

// command is one subcommand of mulberryshunt.
type command struct {
	name string
	// usageArgs shows the arguments after the flags in the usage line.
	usageArgs string
	summary   string
	// setup registers the flags of the command and returns the function that
	// runs it.
	setup func(*flag.FlagSet) func(*env) error
}

// env is the environment of a running command.
type env struct {
	ctx    context.Context
	args   []string
	out    io.Writer
	errOut io.Writer
}

// exitError is an error with the exit code to return for it.
type exitError struct {
	code int
	err  error
}

// Error implements error.
func (e *exitError) Error() string { return e.err.Error() }

// failedError returns an error for ExitFailed.
func failedError(format string, args ...any) error {
	return &exitError{ExitFailed, fmt.Errorf(format, args...)}
}

// usageError returns an error for ExitUsage.
func usageError(format string, args ...any) error {
	return &exitError{ExitUsage, fmt.Errorf(format, args...)}
}

// unreachableError returns an error for ExitUnreachable.
func unreachableError(err error) error {
	return &exitError{ExitUnreachable, err}
}

// commands returns all commands in the order of the help text.
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

// Main runs the command line of mulberryshunt and returns its exit code.
func Main(args []string, out, errOut io.Writer) int {
	if len(args) == 0 || args[0] == "help" || args[0] == "-h" || args[0] == "-help" || args[0] == "--help" {
		printHelp(out)
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

func printHelp(out io.Writer) {
	fmt.Fprintln(out, "mulberryshunt: the operators' command line of a query tier over many shards")
	fmt.Fprintln(out)
	for _, c := range commands() {
		fmt.Fprintf(out, "  %-10s %s\n", c.name, c.summary)
	}
	fmt.Fprintln(out, "\nmulberryshunt COMMAND -h shows the flags of a command.")
	fmt.Fprintln(out, "Exit codes: 0 done, 1 the answer is bad, 2 the command line is wrong, 3 an address did not answer.")
}

func (c command) run(args []string, out, errOut io.Writer) int {
	fs := flag.NewFlagSet(c.name, flag.ContinueOnError)
	fs.SetOutput(errOut)
	fs.Usage = func() {
		fmt.Fprintf(errOut, "usage: mulberryshunt %s [flags] %s\n%s\n", c.name, c.usageArgs, c.summary)
		fs.PrintDefaults()
	}
	run := c.setup(fs)
	v := fs.Int("v", 0, "verbosity of the log on standard error: 0 logs nothing, 1 decisions on queries, 2 also decisions on each attempt")
	switch err := fs.Parse(args); {
	case errors.Is(err, flag.ErrHelp):
		return ExitOK
	case err != nil:
		return ExitUsage
	}
	setUpLog(*v, errOut)
	defer klog.Flush()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return printError(c.name, run(&env{ctx: ctx, args: fs.Args(), out: out, errOut: errOut}), errOut)
}

// printError prints err, if it is not nil, and returns the exit code.
func printError(name string, err error, errOut io.Writer) int {
	if err == nil {
		return ExitOK
	}
	fmt.Fprintf(errOut, "mulberryshunt %s: %s\n", name, strings.TrimSpace(err.Error()))
	if e, ok := err.(*exitError); ok {
		return e.code
	}
	return ExitFailed
}

// setUpLog sends the log to w, or discards it if verbosity is 0, so that only the
// output of the command is shown.
func setUpLog(verbosity int, w io.Writer) {
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
