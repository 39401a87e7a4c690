// Package accept commits edits of the configuration. It validates an edit against the
// current document, writes the section body, and replaces the head and records the
// operation in one transaction. If the response to the transaction is lost, the
// operation record shows whether the edit was applied.
package accept
