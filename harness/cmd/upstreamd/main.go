// Command upstreamd runs a fake upstream that announces itself to the node on its
// instance. On SIGTERM or SIGINT it drains and exits.
package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"corianderwood.example/corianderwood/harness/fake"
	"corianderwood.example/corianderwood/pkg/upstream"
)

// drainTimeout bounds the drain and the shutdown of the server together.
const drainTimeout = 60 * time.Second

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "upstreamd:", err)
		os.Exit(1)
	}
}

func run(args []string) error {
	flags := flag.NewFlagSet("upstreamd", flag.ContinueOnError)
	listen := flags.String("listen", "127.0.0.1:0", "address and port to listen on")
	announce := flags.String("announce", "", "URL of the node's announce API; if empty, nothing is announced")
	service := flags.String("service", "svc", "name of the announced service")
	version := flags.String("version", "v1", "announced version of the service")
	slots := flags.Int("slots", 9, "announced number of slots (concurrent requests)")
	seed := flags.Uint64("seed", 1, "seed of the random failures and latency jitter")
	behavior := flags.String("behavior", "{}", "initial behavior as JSON; PUT "+fake.UpstreamBehaviorPath+" changes it")
	if err := flags.Parse(args); err != nil {
		return err
	}
	var b fake.Behavior
	if err := json.Unmarshal([]byte(*behavior), &b); err != nil {
		return fmt.Errorf("invalid JSON in flag -behavior: %w", err)
	}
	l, err := net.Listen("tcp", *listen)
	if err != nil {
		return err
	}
	server := fake.NewUpstream(fake.UpstreamOptions{Service: *service, Version: *version, Slots: *slots, Seed: *seed}, b)
	served := make(chan error, 1)
	go func() { served <- server.Serve(l) }()
	fmt.Printf("serving at %s\n", l.Addr())

	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	announcer := &fake.Announcer{URL: *announce, Announcement: upstream.Announcement{
		Service: *service, Version: *version, Address: l.Addr().String(), Slots: *slots,
		HealthPath: fake.UpstreamHealthPath, LoadPath: fake.UpstreamLoadPath},
		Failed: func(err error) { fmt.Fprintln(os.Stderr, "upstreamd: announcement failed:", err) }}
	if *announce != "" {
		go announcer.Run(ctx)
	}
	select {
	case err := <-served:
		return err
	case <-ctx.Done():
	}
	return drain(server, announcer, *announce != "")
}

// drain drains the upstream at its node, if it is announced, and shuts the server down. A
// failed drain is only logged.
func drain(server *fake.Upstream, announcer *fake.Announcer, announced bool) error {
	ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	if announced {
		if err := announcer.Drain(ctx); err != nil {
			fmt.Fprintln(os.Stderr, "upstreamd: drain failed:", err)
		}
	}
	if err := server.Shutdown(ctx); err != nil && err != http.ErrServerClosed {
		return err
	}
	fmt.Println("drained")
	return nil
}
