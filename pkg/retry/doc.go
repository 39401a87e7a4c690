// Package retry decides whether a failed call is retried. It classifies the outcome of
// an attempt, limits retries by budgets and computes waits with full jitter. It sends
// no calls. The time is an argument, except in the methods that have a variant with the
// suffix At.
package retry
