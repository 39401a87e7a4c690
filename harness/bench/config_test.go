package bench

import "testing"

// Guards against changes to accept, config or snapshot that break the suite or miss one of
// its bounds, such as edits that transfer more than the changed section.
func TestConfigSuite(t *testing.T) {
	rows, err := ConfigSuite().Run(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	for _, row := range rows {
		t.Log(row)
		if !row.Pass() {
			t.Errorf("out of bounds: %s", row)
		}
	}
}
