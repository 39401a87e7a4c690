// Package gossip replicates configuration revisions (heads and section bodies), member
// records and move states between nodes. State makes all decisions without goroutines,
// clock or I/O; Agent runs a State over a Transport.
//
// The minimum revision of an instance is the lowest revision that it may serve, so that
// it does not go back to an older one after a restart. Two peers, its replicas, store it.
//
// A node calls Run in a goroutine of its own and Join with addresses of peers. Revisions
// delivers nothing until the minimum revision is established, either with SetMinRevision
// after a strongly consistent read of the head or with EstablishMinRevision. Offer adds a
// head read from the platform, Publish one that this node committed; both establish the
// minimum revision too and raise it to that head. Before the node puts a revision in force
// it calls ReplicateMinRevision, and afterwards SetInForce, which also raises it.
package gossip
