package cli

import (
	"errors"
	"testing"

	"github.com/samber/oops"
)

// Guards against an error that is printed without its hint.
func TestErrorText(t *testing.T) {
	tests := []struct {
		err  error
		want string
	}{
		{errors.New("broken"), "broken"},
		{oops.Hint("mend it").Errorf("broken"), "broken; mend it"},
		{oops.Errorf("broken"), "broken"},
	}
	for _, test := range tests {
		if got := ErrorText(test.err); got != test.want {
			t.Errorf("text %q, want %q", got, test.want)
		}
	}
}
