// Package shuntfleet coordinates the VMs: they exchange heartbeats, distribute
// the published configuration among each other, and lease each backend server
// to one owner. All state is kept in memory, so there is no storage for
// operators to maintain.
//
// Control holds all of the state and uses neither goroutines nor the network. A
// Runner runs a Control and transports its messages.
package shuntfleet
