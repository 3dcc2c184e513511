// Package shuntbalance decides which backend server gets a request, when a
// second one is tried, and how much extra load that may cause.
//
// The decisions are plain types without a network: Board (which server),
// RetryBudget (extra load on a service), ColdGate (load on a cold server).
package shuntbalance
