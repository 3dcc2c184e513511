package shuntcommand

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"time"

	"mulberryshunt.example/mulberryshunt/platform/shuntsoak"
)

const (
	defaultSoakDuration = 20 * time.Second
	defaultSoakVMs      = 6
)

func soakCommand() command {
	return command{
		name:    "soak",
		summary: "run the daemons as processes on loopback, inject faults, and check what callers and servers see",
		setup: func(fs *flag.FlagSet) func(*env) error {
			seed := fs.Uint64("seed", 1, "the seed of the faults")
			seeds := fs.Int("seeds", 1, "how many seeds to run, from -seed on")
			duration := fs.Duration("duration", defaultSoakDuration, "how long faults are injected, for each seed")
			vms := fs.Int("vms", defaultSoakVMs, "the number of daemon processes, 1 to 200")
			daemon := fs.String("daemon", "target/mulberryshuntd", "the daemon program to run")
			earlier := fs.String("earlier", "", "daemon programs of earlier builds, separated by commas: VMs start with the first one and are replaced in turn")
			dir := fs.String("dir", "", "folder for settings and logs; by default a new one, kept if a promise is broken")
			return func(e *env) error {
				if *vms < 1 || *vms > 200 || *seeds < 1 {
					return usageError("-vms must be 1 to 200, -seeds above 0")
				}
				var builds []string
				if *earlier != "" {
					builds = strings.Split(*earlier, ",")
				}
				for i := range *seeds {
					c := shuntsoak.Config{Seed: *seed + uint64(i), Duration: *duration, VMs: *vms, Daemon: *daemon, Earlier: builds, Dir: *dir, Out: e.out}
					if err := runSoak(e, c); err != nil {
						return err
					}
				}
				return nil
			}
		},
	}
}

// runSoak runs one seed. It keeps the folder with settings and logs if a
// guarantee was violated or if the user named the folder.
func runSoak(e *env, c shuntsoak.Config) error {
	kept := c.Dir != ""
	if !kept {
		dir, err := os.MkdirTemp("", "mulberryshunt-soak-")
		if err != nil {
			return failedError("%v", err)
		}
		c.Dir = dir
	}
	r, err := shuntsoak.Run(e.ctx, c)
	if err != nil {
		return failedError("%v", err)
	}
	fmt.Fprintf(e.out, "seed %d: %d faults, %d requests, %d served, %d promises broken\n", c.Seed, r.Faults, r.Sent, r.Served, len(r.Violations))
	for _, b := range r.Violations {
		fmt.Fprintf(e.out, "  %s\n", b)
	}
	if len(r.Violations) > 0 {
		return failedError("seed %d: promises were broken; settings and logs are in %s", c.Seed, c.Dir)
	}
	if kept {
		return nil
	}
	return os.RemoveAll(c.Dir)
}
