package bench

import (
	"testing"
	"time"
)

// Guards against a benchmark mesh whose nodes never put a published revision in force,
// which would make its figures meaningless.
func TestGossipMeshSpreadsChange(t *testing.T) {
	m := newGossipMesh(20, 1)
	m.run(time.Second)
	rows := gossipChange(m, 20)
	for _, row := range rows {
		if row.Name == "gossip.20.change.everywhere" && (!row.Pass() || row.Value <= 0) {
			t.Errorf("row %v", row)
		}
	}
	if !m.allInForce() {
		t.Error("the newest revision is not in force at all nodes")
	}
}
