// Package shuntupstream sends requests to backend servers over HTTP/1.1, on
// connections that it counts, and says of each whether it may have run.
package shuntupstream
