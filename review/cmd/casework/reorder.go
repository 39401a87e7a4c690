package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"corianderwood.example/review/internal/mesh"
)

// reorder: a version fails orders, one route of two, and the mesh reports rolled_back. Its servers go on
// to serve for some seconds, and meanwhile the operator orders a further version.
func reorder(p *play) (finding, error) {
	d, err := mesh.NewDeployment(p.record, "shop", "shop", "shop", "shop", "shop")
	if err != nil {
		return nil, err
	}
	p.onEnd(d.Close)
	d.Store.Put("op", "config", mesh.Configuration(7,
		mesh.Route{Host: "shop.example", Prefix: "/stock/", Kind: "safe", Service: "shop", TimeoutMS: 1200, Attempts: 1},
		mesh.Route{Host: "shop.example", Prefix: orderPath, Kind: "unsafe", Service: "shop", TimeoutMS: 1200, Attempts: 1}))
	if err := d.StartNodes(); err != nil {
		return nil, err
	}
	f := &fleet{play: p}
	defer f.close()
	for i := range 2 {
		if _, err := f.start(d.Machines[i], fmt.Sprintf("i-v1-%d", i+1), "v1", good); err != nil {
			return nil, err
		}
	}
	var stops []func()
	for _, m := range d.Machines {
		stops = append(stops, traffic(p, m, "shop.example", "/stock/1", 18*time.Millisecond), traffic(p, m, "shop.example", orderPath+"1", 55*time.Millisecond))
	}
	time.Sleep(4 * time.Second)

	ordered := time.Now()
	deadline := ordered.Add(8 * time.Second)
	d.Store.Put("op", "rollout/shop", []byte(`{"service":"shop","target":"v2","duration":"8s"}`))
	var rejected []*mesh.Server
	for i := 2; i < 4; i++ {
		s, err := f.start(d.Machines[i], fmt.Sprintf("i-v2-%d", i-1), "v2", failing(orderPath))
		if err != nil {
			return nil, err
		}
		rejected = append(rejected, s)
	}
	rolledBack, err := awaitState(d, "rolled_back", deadline)
	if err != nil {
		return nil, err
	}
	p.record.Printf("operator: sees that v2 is rolled back %.1f s after the order", rolledBack.Sub(ordered).Seconds())
	if p.trouble {
		time.Sleep(250 * time.Millisecond)
		d.Store.Put("op", "rollout/shop", []byte(`{"service":"shop","target":"v3","duration":"12s"}`))
		if _, err := f.start(d.Machines[4], "i-v3-1", "v3", good); err != nil {
			return nil, err
		}
	}
	time.Sleep(time.Until(rolledBack.Add(4 * time.Second))) // "At rolled_back, the new servers drain some seconds later."
	for _, s := range rejected {
		s.SetState("draining")
		s.Send(s.Beat())
	}
	time.Sleep(drain + 500*time.Millisecond)
	for _, s := range rejected {
		s.Withdraw()
		s.Close()
	}
	time.Sleep(time.Until(deadline))
	for _, stop := range stops {
		stop()
	}

	all, exposed, afterOutcome, failed := 0, 0, 0, 0
	for _, run := range f.runs() {
		if run.At.Before(ordered) || run.At.After(deadline) {
			continue
		}
		all++
		if strings.HasPrefix(run.Server, "i-v2") {
			exposed++
			if run.At.After(rolledBack.Add(time.Second)) {
				afterOutcome++
				if run.Status >= http.StatusInternalServerError {
					failed++
				}
			}
		}
	}
	allowed := exposureShare*float64(all) + exposureSlack
	p.record.Printf("%d requests reached the service between the order and its deadline, %d of them v2, %d of those later than 1 s after rolled_back; %d of these were orders that failed; allowed are %.0f", all, exposed, afterOutcome, failed, allowed)
	if float64(exposed) <= allowed {
		return nil, nil
	}
	return finding{fmt.Sprintf("EXPOSURE: the bad version v2 got %d of %d requests between its order and its deadline, %d of them later than 1 s after it was reported as rolled back; allowed are %.0f; %d of those late ones were orders, which failed", exposed, all, afterOutcome, allowed, failed)}, nil
}
