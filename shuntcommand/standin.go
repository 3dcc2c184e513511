package shuntcommand

import (
	"flag"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"mulberryshunt.example/mulberryshunt/shuntconfig"
	"mulberryshunt.example/mulberryshunt/shuntdemo"
	"mulberryshunt.example/mulberryshunt/shuntfake"
)

const (
	firstVMPort   = 7101
	settingsMode  = 0o600
	folderMode    = 0o755
	maxStandinVMs = 30
)

type standinFlags struct {
	users, platform, settings, publish string
	vms                                int
	seed                               uint64
}

func standinCommand() command {
	return command{
		name:    "standin",
		summary: "run a stand-in platform and backend servers for daemons that you start by hand",
		setup: func(fs *flag.FlagSet) func(*env) error {
			var f standinFlags
			fs.StringVar(&f.users, "users", "cooperative", "installation to simulate: cooperative or franchise")
			fs.StringVar(&f.platform, "platform", "127.0.0.1:7100", "where the platform listens")
			fs.StringVar(&f.settings, "settings", "", "folder to write the settings files of the VMs to (required)")
			fs.StringVar(&f.publish, "publish", "", "folder of further documents to publish")
			fs.IntVar(&f.vms, "vms", 1, "the number of VMs in the Fleet document, on ports from 7101")
			fs.Uint64Var(&f.seed, "seed", 1, "seed of the backend servers")
			return func(e *env) error { return runStandin(e, f) }
		},
	}
}

func runStandin(e *env, f standinFlags) error {
	estate, ok := shuntfake.Estates()[f.users]
	switch {
	case !ok:
		return usageError("-users: %q is not one of %s", f.users, strings.Join(slices.Sorted(maps.Keys(shuntfake.Estates())), ", "))
	case f.settings == "":
		return usageError("-settings: no folder given")
	case f.vms < 1 || f.vms > maxStandinVMs:
		return usageError("-vms: %d is not between 1 and %d", f.vms, maxStandinVMs)
	}
	s, err := shuntdemo.StartStandins(shuntdemo.StandinsConfig{Estate: estate, Seed: f.seed, Listen: f.platform})
	if err != nil {
		return err
	}
	defer s.Close()
	s.PublishFleet(estate.Fleet(f.vms, func(i int) string { return fmt.Sprintf("127.0.0.1:%d", firstVMPort+i) }))
	if err := publishFolder(s, f.publish); err != nil {
		return err
	}
	if err := writeSettings(e, s, f.settings); err != nil {
		return err
	}
	fmt.Fprintf(e.out, "platform at %s, %d backend servers; end with Ctrl-C\n", s.PlatformAddress, len(s.Backends))
	<-e.ctx.Done()
	return nil
}

func publishFolder(s *shuntdemo.Standins, folder string) error {
	if folder == "" {
		return nil
	}
	docs, err := readFolder(folder)
	if err != nil {
		return usageError("-publish: %v", err)
	}
	for _, d := range docs {
		s.Platform.Publish(d.Key, d.Body)
	}
	return nil
}

func writeSettings(e *env, s *shuntdemo.Standins, folder string) error {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return err
	}
	for _, v := range s.Fleet().VMs {
		file := filepath.Join(folder, v.Name+documentSuffix)
		if err := os.WriteFile(file, shuntconfig.EncodeSettings(s.Settings(v)), settingsMode); err != nil {
			return err
		}
		fmt.Fprintf(e.out, "go run ./cmd/mulberryshuntd -settings %s   (callers at %s, operators at %s)\n", file, v.CallerAddress, v.OperatorAddress)
	}
	return nil
}
