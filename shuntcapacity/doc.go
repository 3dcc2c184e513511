// Package shuntcapacity measures the cost of the parts of the system on this
// machine, per query, heartbeat and so on. From these slopes it estimates what
// each role needs in a fleet of a given size.
package shuntcapacity
