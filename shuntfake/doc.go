// Package shuntfake holds small stand-ins for what the system meets: the
// platform, backend servers and the network between VMs. They count by
// themselves what must never happen, so that the demonstration and the tests
// don't rest on the system's own word.
package shuntfake
