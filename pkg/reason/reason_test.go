package reason

import "testing"

// Guards against a changed header value, which nodes of other versions would not
// understand.
func TestRanValues(t *testing.T) {
	for got, want := range map[Ran]string{RanNo: "no", RanYes: "yes", RanUnknown: "unknown"} {
		if string(got) != want {
			t.Errorf("Ran value %q, want %q", got, want)
		}
	}
}
