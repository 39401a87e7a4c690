// Package sidecar implements the node that runs as the sidecar of one server (the local
// server). It replicates the store's rows, keeps connections (links) to the other nodes,
// tracks the local server's heartbeats and proxies client requests. All names and formats
// of the deployment are supplied through Deployment.
package sidecar
