//go:build protocol0

package shuntmember

// Protocol makes tests' daemons speak the version before.
const Protocol = 0
