// Command platformd serves the fake platform on a loopback address until SIGINT or
// SIGTERM. Its first line of output is the base URL.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"corianderwood.example/corianderwood/harness/fake"
)

const shutdownTimeout = 2 * time.Second

func main() {
	listen := flag.String("listen", "127.0.0.1:0", "loopback address and port to listen on")
	seed := flag.Uint64("seed", 1, "seed of the random fault injection")
	flag.Parse()
	if err := run(*listen, *seed); err != nil {
		fmt.Fprintln(os.Stderr, "platformd:", err)
		os.Exit(1)
	}
}

func run(listen string, seed uint64) error {
	host, _, err := net.SplitHostPort(listen)
	if err != nil {
		return err
	}
	if ip := net.ParseIP(host); ip == nil || !ip.IsLoopback() {
		return fmt.Errorf("%s is not a loopback address, which is required because the fake platform checks no signatures", listen)
	}
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return err
	}
	fmt.Printf("http://%s\n", listener.Addr())
	server := &http.Server{Handler: fake.NewPlatform(seed), ReadHeaderTimeout: 5 * time.Second}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	done := make(chan error, 1)
	go func() { done <- server.Serve(listener) }()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
	}
	shutdownCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if err := server.Shutdown(shutdownCtx); err != nil && !errors.Is(err, context.DeadlineExceeded) {
		return err
	}
	return nil
}
