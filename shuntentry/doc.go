// Package shuntentry implements the HTTP interface for callers: the list of VM
// addresses to use, tickets for requests that must run at most once, and queries.
// It limits concurrent queries to what the backend servers can handle.
package shuntentry
