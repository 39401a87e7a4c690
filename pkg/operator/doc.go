// Package operator implements the server and the client of a node's administration API,
// which is HTTP with JSON over mutual TLS. The operator's team is read from the client
// certificate.
package operator
