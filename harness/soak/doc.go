// Package soak runs the real node as separate processes, injects faults from outside
// by signals, a loopback proxy and the store's stand-in, and checks what clients,
// servers and the operator see while it runs. A seed fixes the schedule of faults.
package soak
