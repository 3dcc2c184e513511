// Package shuntpeer implements RPC between daemons: net/rpc over TCP, with
// messages encoded by gob in frames of limited length. Both sides of a new
// connection authenticate with a shared key. Calls can be cancelled and have
// deadlines, and connections that no longer respond are detected.
package shuntpeer
