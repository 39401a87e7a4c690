// Package contain limits a panic to the request, connection or row that caused it.
package contain
