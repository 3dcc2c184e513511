// Package shuntmember knows which VMs live. Each VM sends small datagrams with
// what it has heard to a few others; a VM whose count stands still is held for
// gone. The cost of a VM does not grow with the number of VMs.
//
// A Roster decides; a Node does the sending, and serves the published state to
// VMs that can't read it themselves.
package shuntmember
