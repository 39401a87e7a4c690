// Package routing holds the configuration in force at an instance as an immutable
// table: routes by host and longest prefix, services and limits for client connections.
// It performs no I/O.
package routing
