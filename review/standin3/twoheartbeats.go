package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// twoHeartbeats plays a server that leaves while the store is down, and processes that are killed before
// the store is back. The last two heartbeats that the server sent before it left arrive late, both by the
// same time and in their order. It reports whether DRAIN held.
func twoHeartbeats(m *mesh, trouble bool) (bool, error) {
	const (
		heartbeatDelay = 3300 * time.Millisecond // how late the two heartbeats arrive
		outageBefore   = 400 * time.Millisecond  // from the start of the outage to the withdrawal
		killAfter      = 200 * time.Millisecond  // from the acknowledgement to the kill
		storeAfter     = 400 * time.Millisecond  // from the acknowledgement to the end of the outage
		servesFor      = 9 * time.Second         // from the acknowledgement to the server's exit
	)
	leaving := m.servers[0]
	var mu sync.Mutex
	var acknowledged time.Time
	var late []string
	leaving.ran = func(id string) {
		now := time.Now()
		m.record.add("runs      %s at the leaving server", id)
		mu.Lock()
		defer mu.Unlock()
		if acknowledged.IsZero() || now.Sub(acknowledged) <= drain {
			return
		}
		s, ok := m.find(id)
		if !ok || !m.allInTouch(s.at) {
			return
		}
		late = append(late, fmt.Sprintf("%s, sent %.3f s after the acknowledgement", id, s.at.Sub(acknowledged).Seconds()))
	}
	if err := m.begin("1200ms", 40*time.Millisecond); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)

	var heartbeats sync.WaitGroup
	defer heartbeats.Wait()
	sendLate := func() {
		body := leaving.heartbeat("ready")
		m.record.add("server %s sends a heartbeat, which arrives late: %s", leaving.id, body)
		heartbeats.Go(func() {
			time.Sleep(heartbeatDelay)
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			status := leaving.callWithin(ctx, http.MethodPut, body)
			m.record.add("a late heartbeat of %s arrives: %d", leaving.id, status)
		})
	}
	leaving.mute()
	sendLate()
	time.Sleep(heartbeatInterval - outageBefore/2)
	if trouble {
		m.record.add("the store goes down")
		m.store.setDown(true)
	}
	time.Sleep(outageBefore / 2)
	sendLate()
	time.Sleep(outageBefore / 2)
	for tries := 0; ; tries++ {
		m.record.add("server %s withdraws its registration", leaving.id)
		if leaving.call(http.MethodDelete, nil) {
			break
		}
		if tries == 3 {
			return false, errors.New("the withdrawal was not acknowledged")
		}
		time.Sleep(200 * time.Millisecond)
	}
	mu.Lock()
	acknowledged = time.Now()
	mu.Unlock()
	m.record.add("the withdrawal of %s is acknowledged", leaving.id)
	if trouble {
		m.record.add("rows of the table mesh: %v", m.store.dump("mesh"))
		time.Sleep(killAfter)
		for _, n := range m.nodes {
			n.signal(syscall.SIGKILL)
		}
		time.Sleep(storeAfter - killAfter)
		m.record.add("the store is back")
		m.store.setDown(false)
		time.Sleep(restartDelay - (storeAfter - killAfter))
		for _, n := range m.nodes {
			if err := n.start(); err != nil {
				return false, err
			}
		}
	}
	mu.Lock()
	rest := servesFor - time.Since(acknowledged)
	mu.Unlock()
	time.Sleep(rest)
	leaving.exit()
	m.record.add("server %s exits", leaving.id)
	time.Sleep(time.Second)
	mu.Lock()
	defer mu.Unlock()
	for _, text := range late {
		m.record.add("DRAIN broken by %s", text)
	}
	m.say("%d requests reached the server later than %v after its acknowledgement, with all nodes in touch", len(late), drain)
	return len(late) == 0, nil
}
