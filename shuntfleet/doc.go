// Package shuntfleet is what the VMs do together: they tell each other that
// they live, spread the published configuration, and lease the backend servers
// to one owner each. Everything is kept in memory; nothing is written anywhere,
// and there is nothing for operators to look after.
//
// Control holds all of the state and has neither goroutines nor a network; a
// Runner moves its messages.
package shuntfleet
