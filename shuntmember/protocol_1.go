//go:build !protocol0

package shuntmember

// Protocol is the version of what VMs say to each other that this build speaks. VMs of
// different builds run side by side during an upgrade; docs/design/protocol.md lists what
// the versions understand of each other.
const Protocol = 1
