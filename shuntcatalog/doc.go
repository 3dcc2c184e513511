// Package shuntcatalog follows the records that operators and backend servers
// publish and builds from them the view by which requests are routed.
//
// A Catalog holds the state and resolves conflicting records; it starts no
// goroutines and does no network I/O. A Follower reads the platform, falls back
// to other VMs while the platform does not answer, and updates the catalog from
// a single goroutine.
package shuntcatalog
