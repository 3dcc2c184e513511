// Package shuntowner stands between the fleet and the backend servers. Each
// backend server has one owner VM at a time; the owner keeps a Gate for it,
// which holds its connections, its concurrency window, its cold ramp and the
// queue before them.
package shuntowner
