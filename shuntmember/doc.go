// Package shuntmember tracks which VMs are alive. Each VM regularly sends a few
// others small datagrams with the reports that it has received. A VM whose
// heartbeat counter stops increasing is considered dead. The cost per VM does
// not grow with the number of VMs.
//
// A MemberList holds the membership state. A Node exchanges the datagrams, and
// serves the published state to VMs that can't read it from the platform.
package shuntmember
