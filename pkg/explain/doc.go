// Package explain tells where a node would send a given request now, and why, without sending it. It
// defines the document with the answer, and builds it from read-only functions of the packages that
// decide on requests.
package explain
