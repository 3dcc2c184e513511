// Package shuntentry is what callers meet: the addresses to use, tickets for
// requests that must run at most once, and queries, admitted as far as the
// backend servers keep up.
package shuntentry
