// Package shuntquery answers a query over many shards: it pins one snapshot,
// scatters sub-requests to the owners of the shards' replicas, hedges and
// retries within budgets, merges the replies and states the true coverage.
package shuntquery
