// Package shuntroute holds the published routes and backend servers as
// immutable values, and matches requests to routes.
package shuntroute
