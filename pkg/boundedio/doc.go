// Package boundedio bounds the memory that a process uses for what others send: the header
// of a message, and the bodies that are being received at the same time.
package boundedio
