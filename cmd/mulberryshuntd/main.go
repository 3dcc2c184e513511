// Command mulberryshuntd is the daemon that runs on every VM. With the single
// argument "platform", it reads its settings from the users' platform.
package main

import (
	"os"

	"mulberryshunt.example/mulberryshunt/platform/shuntadapter"
	"mulberryshunt.example/mulberryshunt/shuntcommand"
)

func main() {
	if len(os.Args) == 2 && os.Args[1] == "platform" {
		os.Exit(shuntadapter.Run(os.Stdout))
	}
	os.Exit(shuntcommand.RunDaemon(os.Args[1:], os.Stderr))
}
