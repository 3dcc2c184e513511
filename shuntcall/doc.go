// Package shuntcall carries one caller's request to backend servers: to one of
// a service, or to one of each shard of an index.
//
// A Caller makes the attempts of one service; Forward and Scatter decide what
// the caller is answered, and when.
package shuntcall
