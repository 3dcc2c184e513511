// Package shuntcatalog follows what operators and backend servers publish and
// turns it into the view that requests are routed by.
//
// A Catalog holds the state and decides; it has no goroutine and no network. A
// Follower reads the platform, falls back on other VMs while the platform does
// not answer, and feeds the catalog from one goroutine.
package shuntcatalog
