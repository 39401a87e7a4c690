// Package move controls moves: the gradual shift of a service's traffic from one
// version to another by a deadline. The share of the new version is a pure function of
// the accepted plan, the replicated move state and the time. Some of the service's
// nodes act as deciders: they compare both versions by a sequential test on evidence
// from all nodes and roll a bad version back. The outcome is stored as one row of the
// platform's table, which overrides the move state.
package move
