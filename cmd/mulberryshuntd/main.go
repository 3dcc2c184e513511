// Command mulberryshuntd is the daemon that runs on every VM.
package main

import (
	"os"

	"mulberryshunt.example/mulberryshunt/shuntcommand"
)

func main() {
	os.Exit(shuntcommand.Daemon(os.Args[1:], os.Stderr))
}
