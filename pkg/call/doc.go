// Package call defines a request and its outcome as they are passed between the
// node that received the request and the node beside the server that runs it.
package call
