package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"corianderwood.example/review/internal/mesh"
)

// scant: a service with few orders gets a version that fails every second one. The old
// servers stop once the mesh reports the roll-out as completed.
func scant(p *play) (finding, error) {
	d, err := mesh.NewDeployment(p.record, "shop", "shop", "front")
	if err != nil {
		return nil, err
	}
	p.onEnd(d.Close)
	d.Store.Put("op", "config", mesh.Configuration(7, mesh.Route{Host: "shop.example", Prefix: orderPath, Kind: "unsafe", Service: "shop", TimeoutMS: 1200, Attempts: 1}))
	if err := d.StartNodes(); err != nil {
		return nil, err
	}
	f := &fleet{play: p}
	defer f.close()
	old, err := f.start(d.Machines[0], "i-v1", "v1", good)
	if err != nil {
		return nil, err
	}
	defer traffic(p, d.Machines[2], "shop.example", orderPath+"1", 500*time.Millisecond)()
	time.Sleep(4 * time.Second)

	ordered := time.Now()
	d.Store.Put("op", "rollout/shop", []byte(`{"service":"shop","target":"v2","duration":"12s"}`))
	answer := good
	if p.trouble {
		answer = failing("/")
	}
	if _, err := f.start(d.Machines[1], "i-v2", "v2", answer); err != nil {
		return nil, err
	}
	completed, err := awaitState(d, "completed", ordered.Add(14*time.Second))
	if err != nil {
		p.record.Printf("%v", err)
	} else {
		p.record.Printf("operator: sees that v2 is completed %.1f s after the order; the old server stops", completed.Sub(ordered).Seconds())
		old.Close()
	}
	time.Sleep(time.Until(ordered.Add(84 * time.Second)))

	bad, late := 0, 0
	var fiftieth time.Time
	for _, run := range f.runs() {
		if !strings.HasPrefix(run.Server, "i-v2") {
			continue
		}
		if run.Status >= http.StatusInternalServerError {
			if bad++; bad == badAnswers {
				fiftieth = run.At
			}
		}
		if !fiftieth.IsZero() && run.At.Sub(fiftieth) > rollbackBound+time.Second {
			late++
		}
	}
	p.record.Printf("v2 gave %d bad answers; %d requests ran there later than %s after the fiftieth", bad, late, rollbackBound)
	if late == 0 {
		return nil, nil
	}
	return finding{fmt.Sprintf("EXPOSURE: the bad version v2 was reported as completed, failed %d orders, and got %d further ones later than %s after the fiftieth failure", bad, late, rollbackBound)}, nil
}
