// Package shuntcall sends a caller's request to backend servers, either to one
// server of a service or to one server of each shard of an index.
//
// A Caller makes the attempts for one service. Forward and Scatter decide which
// answer the caller gets, and when. Shards without a server in this VM's region
// are delegated to a VM in another region, whose Caller gathers them.
package shuntcall
