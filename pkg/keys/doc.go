// Package keys creates the certificate authority and the certificates of nodes and
// operators, and provides TLS configurations that are updated when the key files change.
package keys
