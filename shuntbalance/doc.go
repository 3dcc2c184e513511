// Package shuntbalance chooses backend servers for requests and limits the load
// that is sent to them.
//
// The types do no I/O: Balancer chooses a server, RetryBudget limits retries and
// hedges per service, ColdLimiter limits requests to a cold server, RateLimiter limits
// requests to a server that asks for that, within what a RateDivider grants, and
// Throttle limits queries to an overloaded index.
package shuntbalance
