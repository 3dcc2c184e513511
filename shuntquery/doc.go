// Package shuntquery runs a query over many shards. It pins one snapshot, sends
// sub-requests to the VMs that own the shards' replicas, hedges and retries
// within budgets, merges the replies and reports which shards answered.
package shuntquery
