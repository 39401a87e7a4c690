// Package abuse holds tests in which clients and other nodes misbehave towards one process of
// `corianderwood sidecar`. They check that the process lives, stays within the memory and the
// descriptors of its settings, and still serves an ordinary request.
package abuse
