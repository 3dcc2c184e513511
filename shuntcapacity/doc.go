// Package shuntcapacity measures what the parts of the system cost on this
// machine, as slopes, and works out from them what each role needs at a given
// size of the fleet.
package shuntcapacity
