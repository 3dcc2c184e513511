// Package shuntowner sends sub-requests to backend servers. Each backend server
// has one owner VM at a time. The owner has a Dispatcher for the server, which
// manages the connections, the concurrency window, the warm-up and the queue of
// waiting sub-requests.
package shuntowner
