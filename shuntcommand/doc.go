// Package shuntcommand holds the commands of mulberryshunt and the start of
// mulberryshuntd: their flags, their output and their exit codes.
package shuntcommand

// Exit codes of all commands.
const (
	// ExitOK: done.
	ExitOK = 0
	// ExitFailed: the command ran, and the answer is bad: a document is
	// invalid, a promise was broken, a query was not answered whole.
	ExitFailed = 1
	// ExitUsage: the command line is wrong.
	ExitUsage = 2
	// ExitUnreachable: an address didn't answer.
	ExitUnreachable = 3
)
