// Package cli contains functions shared by the command lines of both binaries.
package cli

import "github.com/samber/oops"

// ErrorText returns the message of an error, followed by its oops hint if it has one.
func ErrorText(err error) string {
	text := err.Error()
	if o, ok := oops.AsOops(err); ok && o.Hint() != "" {
		text += "; " + o.Hint()
	}
	return text
}
