// Command mulberryshunt is the operators' command-line tool.
package main

import (
	"os"

	"mulberryshunt.example/mulberryshunt/shuntcommand"
)

func main() {
	os.Exit(shuntcommand.Main(os.Args[1:], os.Stdout, os.Stderr))
}
