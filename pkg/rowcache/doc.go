// Package rowcache holds a node's copy of the store's tables that the node follows.
// The store's version counter orders every change, so nodes can exchange copies while
// the store is unavailable, and a row is never replaced by an older version.
package rowcache
