// Package dispatch handles requests of clients and of the local server: it matches the
// route, selects servers until one has responded, and decides after each outcome
// whether to respond, to try another server or to refuse the request.
package dispatch
