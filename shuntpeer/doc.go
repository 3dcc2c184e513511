// Package shuntpeer carries messages between the daemons: net/rpc over TCP in
// length-limited gob frames, with a shared key proved at the start of each
// connection, calls that can be cancelled and carry deadlines, and detection
// of connections that went silent.
package shuntpeer
