// Package shuntrouter is the duty that forwards callers' HTTP requests by
// published routes: it ties the catalog, the fleet, the connections to backend
// servers and the decisions on requests together, and serves callers.
package shuntrouter
