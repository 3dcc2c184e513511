// Package shuntcall carries one caller's request to backend servers: to one of
// a service, or to one of each shard of an index.
//
// A Caller makes the attempts of one service; Forward and Scatter decide what
// the caller is answered, and when. Shards that have no server in this VM's
// region are passed on to a VM of another region, whose Caller gathers them.
package shuntcall
