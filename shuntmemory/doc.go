// Package shuntmemory accounts for the memory that a process holds for others:
// requests that are arriving or being served, replies that are being read, and
// answers that are being sent. A process that runs short gives up what holds most
// and moves least.
package shuntmemory
