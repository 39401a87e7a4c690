// Command load sends a bounded HTTP load to loopback addresses and prints a report as
// JSON. It exits with status 1 if a response body is shortened or belongs to another
// request, and with 2 if a flag is invalid.
package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"time"

	"corianderwood.example/corianderwood/harness/load"
)

func main() {
	var o load.Options
	urls := flag.String("urls", "", "comma-separated base URLs with loopback IP addresses, used in turn")
	paths := flag.String("paths", "/", "comma-separated request paths, used in turn")
	flag.IntVar(&o.Workers, "workers", 8, "number of concurrent senders")
	flag.Float64Var(&o.Rate, "rate", 0, "requests per second over all workers; 0 sends as fast as responses arrive")
	flag.DurationVar(&o.Duration, "duration", 10*time.Second, "maximum duration of the load")
	flag.IntVar(&o.Requests, "requests", 0, "maximum number of requests; 0 means that only the duration limits the load")
	flag.Float64Var(&o.PostShare, "post", 0.1, "fraction of requests sent with POST, from 0 to 1")
	flag.IntVar(&o.RequestBytes, "request-bytes", 200, "size of POST bodies in bytes")
	flag.IntVar(&o.ResponseBytes, "response-bytes", 2048, "size of response bodies in bytes")
	flag.StringVar(&o.IDPrefix, "id", "load-", "prefix of the request ids")
	flag.Uint64Var(&o.Seed, "seed", 1, "seed of the random choice between GET and POST")
	flag.Parse()
	o.URLs, o.Paths = strings.Split(*urls, ","), strings.Split(*paths, ",")
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	report, err := load.Run(ctx, o)
	if err != nil {
		fmt.Fprintln(os.Stderr, "load:", err)
		os.Exit(2)
	}
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(struct {
		*load.Report
		P50MS float64 `json:"p50_ms"`
		P99MS float64 `json:"p99_ms"`
	}{report, ms(report.Quantile(0.5)), ms(report.Quantile(0.99))})
	if report.Wrong > 0 {
		os.Exit(1)
	}
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
