package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"corianderwood.example/review/internal/mesh"
)

// Bounds of the pages that the case uses.
const (
	drain        = 2 * time.Second
	stableWindow = 3 * time.Second
)

// withdrawn: all nodes are killed at the same moment and start again. Then a server beside one
// of them withdraws its registration, which the restarted node acknowledges. A heartbeat that
// the server had sent before arrives seconds late. No request may reach the server later than
// the bound drain after the acknowledgement.
func withdrawn(p *play) (finding, error) { return withdrawAndKill(p, false) }

// forgotten is like withdrawn, but the server withdraws its registration before the kill.
func forgotten(p *play) (finding, error) { return withdrawAndKill(p, true) }

func withdrawAndKill(p *play, before bool) (finding, error) {
	d, err := mesh.NewDeployment(p.record, "shop", "shop", "front")
	if err != nil {
		return nil, err
	}
	p.onEnd(d.Close)
	d.Store.Put("op", "config", mesh.Configuration(7, mesh.Route{Host: "shop.example", Prefix: "/stock/", Kind: "safe", Service: "shop", TimeoutMS: 1200, Attempts: 2}))
	if err := d.StartNodes(); err != nil {
		return nil, err
	}
	leaving, staying := mesh.NewServer(p.record, d.Machines[0], "i-leaving", "v1"), mesh.NewServer(p.record, d.Machines[1], "i-staying", "v1")
	for _, s := range []*mesh.Server{leaving, staying} {
		s.Answer = func(*http.Request) (int, []byte) {
			time.Sleep(20 * time.Millisecond)
			return http.StatusOK, []byte("in stock\n")
		}
		if err := s.Listen(); err != nil {
			return nil, err
		}
		p.onEnd(s.Close)
		s.Heartbeats()
	}
	stopTraffic := traffic(p, d.Machines[2], "shop.example", "/stock/1", 40*time.Millisecond)
	defer stopTraffic()
	time.Sleep(4 * time.Second)

	leaving.Quiet()
	late := leaving.Beat() // it is sent now and arrives seconds late
	p.record.Printf("server i-leaving: sends %s, which is delayed", late)
	made := time.Now()
	restarted, acknowledged := time.Time{}, time.Time{}
	withdraw := func() error {
		if !leaving.Withdraw() {
			return fmt.Errorf("the withdrawal was not acknowledged")
		}
		acknowledged = time.Now()
		p.record.Printf("the withdrawal of i-leaving is acknowledged")
		return nil
	}
	if before {
		if err := withdraw(); err != nil {
			return nil, err
		}
	}
	if p.trouble {
		time.Sleep(200 * time.Millisecond)
		for _, m := range d.Machines {
			go m.Kill()
		}
		for _, m := range d.Machines {
			m.Kill()
		}
		time.Sleep(300 * time.Millisecond)
		restarted = time.Now()
		if err := d.StartNodes(); err != nil {
			return nil, err
		}
	}
	if !before {
		if err := withdraw(); err != nil {
			return nil, err
		}
	}
	time.Sleep(time.Until(made.Add(2500 * time.Millisecond)))
	leaving.Send(late)
	// The server serves for drain and some seconds more.
	time.Sleep(time.Until(acknowledged.Add(drain + 5*time.Second)))
	stopTraffic()
	leaving.Close()

	after := 0
	var last time.Duration
	for _, run := range leaving.Runs() {
		since := run.At.Sub(acknowledged)
		if since > drain+100*time.Millisecond && run.At.Sub(restarted) > stableWindow+time.Second {
			after, last = after+1, since
		}
	}
	if after == 0 {
		return nil, nil
	}
	return finding{fmt.Sprintf("DRAIN: %d requests ran at i-leaving later than %s after the acknowledgement, the last after %.1f s", after, drain, last.Seconds())}, nil
}

// orderPath begins the paths of orders, which are sent with POST and may run once at most.
const orderPath = "/order/"

// traffic sends requests from the machine at a fixed interval until the returned function is
// called, which waits for their end.
func traffic(p *play, m *mesh.Machine, host, path string, interval time.Duration) func() {
	client := mesh.NewClient(p.record, m)
	method, body := http.MethodGet, []byte(nil)
	if strings.HasPrefix(path, orderPath) {
		method, body = http.MethodPost, []byte("gauge=16&pieces=2\n")
	}
	stop, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		tick := time.NewTicker(interval)
		defer tick.Stop()
		for {
			select {
			case <-stop:
				return
			case <-tick.C:
				go client.Do(method, host, path, body, 2500*time.Millisecond)
			}
		}
	}()
	called := false
	return func() {
		if !called {
			called = true
			close(stop)
			<-ended
			time.Sleep(300 * time.Millisecond)
		}
	}
}
