package aws

import "time"

const (
	// dialTimeout limits the time to open a connection. If it expires, nothing has been
	// sent.
	dialTimeout = 2 * time.Second
	// idleTimeout closes idle connections, which may have been dropped by the network
	// unnoticed.
	idleTimeout = 20 * time.Second
	// maxIdleConnections is low because a node sends few requests to the platform.
	maxIdleConnections = 4
	// maxTransactionWrites is DynamoDB's limit on the number of actions in one
	// transaction.
	maxTransactionWrites = 100
	// rootPartition is the partition of keys without '/', because DynamoDB rejects
	// empty keys.
	rootPartition = "/"
)
