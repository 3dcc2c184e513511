// Package shuntcommand implements the command lines of mulberryshunt and
// mulberryshuntd: their flags, output and exit codes.
package shuntcommand

// Exit codes of all commands.
const (
	// ExitOK means that the command succeeded.
	ExitOK = 0
	// ExitFailed means that the command ran and its result is a failure: a
	// document is invalid, a guarantee was violated, or a query was not answered
	// completely.
	ExitFailed = 1
	// ExitUsage means that the command line is invalid.
	ExitUsage = 2
	// ExitUnreachable means that an address didn't answer.
	ExitUnreachable = 3
)
