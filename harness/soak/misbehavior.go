package soak

import (
	"math/rand/v2"
	"net/http"
)

// Misbehavior is a way in which a server misbehaves.
type Misbehavior int

// Misbehaviors of a server. Those from Cutting on spoil one of spoiledOneIn responses.
const (
	NoMisbehavior Misbehavior = iota
	// Slow takes five times workTime.
	Slow
	// Failing responds to half of the requests with status 500.
	Failing
	// Rejecting rejects half of the requests as not executed.
	Rejecting
	// Resetting closes the connection of half of the requests, after it has executed
	// them, without a response.
	Resetting
	// Duplicating sends each response twice, the second time up to maxCopyDelay later on the
	// same connection, which stays in use. One of copiedFailureOneIn has status 500.
	Duplicating
	// Cutting breaks a response off, keeps the connection in use, and sends a whole copy of
	// this or of the previous response up to maxCopyDelay later.
	Cutting
	// Contradicting sends a failure and a success for one request. The failure may lack the
	// id of the request or have another one.
	Contradicting
	// Unframed sends a response whose end is that of the connection. A copy may come before.
	Unframed
	// Alternating sends a long response and its copy in pieces that alternate at random.
	Alternating
	// Chunked sends chunked responses, and spoils them like Cutting and Alternating.
	Chunked
)

const (
	// copiedFailureOneIn, in responses, is how rare failures of a Duplicating server are. With
	// more of them, nodes avoid the server.
	copiedFailureOneIn = 10
	spoiledOneIn       = 8 // responses
	// maxCutBlocks, minLongBlocks and maxLongBlocks are lengths of bodies, in blocks.
	maxCutBlocks  = 8
	minLongBlocks = 50
	maxLongBlocks = 150
)

// draw decides how the response to a request is delivered.
func (m Misbehavior) draw() delivery {
	d := delivery{status: http.StatusOK, send: (*serverConnection).sendWhole}
	half := rand.IntN(2) == 0
	if m == Failing && half || m == Duplicating && rand.IntN(copiedFailureOneIn) == 0 {
		d.status = http.StatusInternalServerError
	}
	if m == Resetting && half {
		d.status, d.name, d.send = noResponse, "withheld", (*serverConnection).withhold
	}
	if m == Chunked {
		d.framing = byChunks
	}
	if m < Cutting || rand.IntN(spoiledOneIn) != 0 {
		return d
	}
	if m == Chunked {
		m = []Misbehavior{Cutting, Alternating}[rand.IntN(2)]
	}
	switch m {
	case Cutting:
		d.name, d.status, d.blocks, d.send = "cut", noResponse, rand.IntN(maxCutBlocks), (*serverConnection).sendCut
	case Contradicting:
		d.name, d.send = "contradicted", (*serverConnection).sendContradicted
		if half {
			d.status = http.StatusInternalServerError
		}
	case Unframed:
		d.name, d.framing, d.send = "unframed", byEnd, (*serverConnection).sendUnframed
	case Alternating:
		d.name, d.send = "alternated", (*serverConnection).sendAlternating
		d.blocks = minLongBlocks + rand.IntN(maxLongBlocks-minLongBlocks)
	}
	return d
}
