// Package ledger records, in the memory of the node beside the upstream, which
// non-repeatable calls were admitted and how they ended. An ingress node whose
// connection broke queries the ledger for the outcome of its call. If the id has not
// arrived, the query fences it: a delayed request with a fenced id is rejected, so that
// the reported outcome "not run" stays true.
package ledger
