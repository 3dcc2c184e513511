// Package shuntfake provides stand-ins for the parts that surround the system:
// the platform, the backend servers and the network between them and the VMs.
// They detect violations of the system's guarantees on their own, so that the
// demonstration and the tests don't depend on what the system reports about
// itself.
package shuntfake
