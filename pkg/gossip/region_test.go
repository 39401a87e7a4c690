package gossip

import (
	"testing"
	"time"
)

// Guards against a mesh that stays divided after a partition between regions has ended,
// also if a member of the other region was restarted on this side meanwhile.
func TestRegionPartitionHeals(t *testing.T) {
	for _, restart := range []bool{false, true} {
		w := newSimulation(11, 1)
		w.platform = false
		w.run(5 * time.Second)
		for i := range w.side {
			w.side[i] = i % 2
		}
		w.run(30 * time.Second)
		if restart {
			w.procs[1] = nil
			w.side[1] = 0
			w.launch(1)
		}
		w.run(30 * time.Second)
		w.heal()
		for i := range 12 {
			w.run(10 * time.Second)
			err := checkConverged(w.views(), 0)
			if err == nil {
				t.Logf("restart %v: converged within %d s", restart, 10*(i+1))
				break
			}
			if i == 11 {
				t.Errorf("restart %v: %v", restart, err)
			}
		}
	}
}
