// Package retry decides whether a failed call is retried. It classifies the outcome of
// an attempt, limits retries by budgets and computes waits with full jitter. It sends
// no calls and takes the time as an argument.
package retry
