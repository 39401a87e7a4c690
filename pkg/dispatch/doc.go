// Package dispatch takes requests of clients and of the server beside the node:
// it finds the route, chooses servers until one has answered, and decides after
// each outcome whether to answer, to try elsewhere or to refuse.
package dispatch
