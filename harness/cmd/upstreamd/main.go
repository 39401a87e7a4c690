// Command upstreamd runs a stand-in upstream that announces itself to the node on
// its instance and drains on SIGTERM or SIGINT.
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

// drainLimit bounds the drain and the end of the running requests.
const drainLimit = 60 * time.Second

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "upstreamd:", err)
		os.Exit(1)
	}
}

func run(args []string) error {
	flags := flag.NewFlagSet("upstreamd", flag.ContinueOnError)
	listen := flags.String("listen", "127.0.0.1:0", "address to serve at")
	announce := flags.String("announce", "", "URL of the node's announce API; empty announces nothing")
	service := flags.String("service", "svc", "service that is announced")
	version := flags.String("version", "v1", "version that is announced")
	slots := flags.Int("slots", 9, "slots that are announced")
	seed := flags.Uint64("seed", 1, "seed of random failures and jitter")
	behavior := flags.String("behavior", "{}", "behavior as JSON; PUT "+fake.UpstreamBehaviorPath+" changes it")
	if err := flags.Parse(args); err != nil {
		return err
	}
	var b fake.Behavior
	if err := json.Unmarshal([]byte(*behavior), &b); err != nil {
		return fmt.Errorf("flag -behavior is not a JSON behavior: %w", err)
	}
	l, err := net.Listen("tcp", *listen)
	if err != nil {
		return err
	}
	up := fake.NewUpstream(fake.UpstreamOptions{Service: *service, Version: *version, Slots: *slots, Seed: *seed}, b)
	served := make(chan error, 1)
	go func() { served <- up.Serve(l) }()
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
	return drain(up, announcer, *announce != "")
}

// drain withdraws the announcement, which returns when no request is running, and
// stops the server.
func drain(up *fake.Upstream, announcer *fake.Announcer, announced bool) error {
	ctx, cancel := context.WithTimeout(context.Background(), drainLimit)
	defer cancel()
	if announced {
		if err := announcer.Drain(ctx); err != nil {
			fmt.Fprintln(os.Stderr, "upstreamd: drain failed:", err)
		}
	}
	if err := up.Shutdown(ctx); err != nil && err != http.ErrServerClosed {
		return err
	}
	fmt.Println("drained")
	return nil
}
