// Package shuntroute holds the routes that operators publish and the backend
// servers that serve them, as immutable values, and matches requests to routes.
package shuntroute
