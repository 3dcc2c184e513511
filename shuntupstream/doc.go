// Package shuntupstream sends requests to backend servers over HTTP/1.1. It
// limits the number of connections to each server and reports for each request
// whether the server may have run it.
package shuntupstream
