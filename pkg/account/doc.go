// Package account holds the client accounts of a configuration: their keys, priorities and
// limits of requests. It performs no I/O.
package account
