// Package shuntrouter forwards callers' HTTP requests to backend servers by the
// published routes. It combines the catalog, the membership of the fleet, the
// connections to backend servers and the handling of requests.
package shuntrouter
