// Package shuntoperator provides the HTTP interface for operators of one VM: its
// state, explanations of recent requests, metrics and a health check. All of it is
// read-only. The command line uses the same types to decode the replies.
package shuntoperator
