package shuntcommand

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/juju/errors"
	"k8s.io/klog/v2"

	"mulberryshunt.example/mulberryshunt/shuntconfig"
	"mulberryshunt.example/mulberryshunt/shuntdaemon"
)

const defaultDrainTimeout = time.Minute

// RunDaemon runs mulberryshuntd and returns its exit code. SIGTERM or SIGINT
// starts a graceful shutdown, and a second signal ends it without waiting.
func RunDaemon(args []string, errOut io.Writer) int {
	fs := flag.NewFlagSet("mulberryshuntd", flag.ContinueOnError)
	fs.SetOutput(errOut)
	file := fs.String("settings", "", "the VM's settings file, TOML (required)")
	drain := fs.Duration("drain", defaultDrainTimeout, "the maximum duration of a graceful shutdown")
	klog.InitFlags(fs)
	switch err := fs.Parse(args); {
	case errors.Is(err, flag.ErrHelp):
		return ExitOK
	case err != nil:
		return ExitUsage
	}
	defer klog.Flush()
	s, err := readSettings(*file)
	if err != nil {
		fmt.Fprintf(errOut, "mulberryshuntd: %v\n", err)
		return ExitUsage
	}
	d := shuntdaemon.New(shuntdaemon.Config{Settings: s})
	if err := d.Start(); err != nil {
		fmt.Fprintf(errOut, "mulberryshuntd: %v\n", err)
		return ExitFailed
	}
	waitAndDrain(d, *drain)
	return ExitOK
}

func readSettings(file string) (shuntconfig.Settings, error) {
	if file == "" {
		return shuntconfig.Settings{}, errors.New("-settings: no file given")
	}
	body, err := os.ReadFile(file)
	if err != nil {
		return shuntconfig.Settings{}, errors.Annotate(err, "-settings")
	}
	return shuntconfig.DecodeSettings(file, body)
}

// waitAndDrain waits for a signal and then shuts the daemon down gracefully. The
// shutdown ends early after limit or at a second signal.
func waitAndDrain(d *shuntdaemon.Daemon, limit time.Duration) {
	first, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	<-first.Done()
	stop()
	second, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(second, limit)
	defer cancel()
	d.Shutdown(ctx)
}
