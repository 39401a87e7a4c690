package bench

import (
	"context"
	"os"
	"runtime"
	"strconv"
	"time"

	"golang.org/x/sync/errgroup"

	"corianderwood.example/corianderwood/pkg/move"
)

const (
	moveWindow  = 10 * time.Minute
	moveWorkers = 4

	// Numbers of moves per case. The bound on false alarms is 1 in 1,000, so a
	// single false alarm among the good moves of a case fails the row.
	goodMoves  = 250
	badMoves   = 100
	naiveMoves = 50
)

// MovesSuite measures moves of good and bad versions in virtual time with the product's
// decision code, and compares them with a baseline that has the same steps but fixed
// thresholds on raw rates. Seeds are derived from the environment variable SEED.
func MovesSuite() Suite {
	return Suite{Name: "moves", Run: func(ctx context.Context) ([]Row, error) {
		return movesRows(ctx, goodMoves, badMoves, naiveMoves)
	}}
}

func movesRows(ctx context.Context, good, bad, naive int) ([]Row, error) {
	var rows []Row
	var total, totalNaive moveTotals
	for _, c := range moveCases() {
		n := good
		if c.bad {
			n = bad
		}
		results, err := runMoves(ctx, c, n, false)
		if err != nil {
			return rows, err
		}
		compared, err := runMoves(ctx, c, naive, true)
		if err != nil {
			return rows, err
		}
		rows = append(rows, moveRows(c, false, results)...)
		rows = append(rows, moveRows(c, true, compared)...)
		total.add(c, results)
		totalNaive.add(c, compared)
	}
	return append(rows,
		Unbounded("moves_all_bad_taken_back", total.detectedRatio(), "ratio"),
		Unbounded("moves_all_bad_naive_taken_back", totalNaive.detectedRatio(), "ratio"),
		AtLeast("moves_all_bad_taken_back_to_naive", total.detectedRatio()/totalNaive.detectedRatio(), "ratio", 1),
		AtMost("moves_all_good_false_alarms", total.falseAlarmRatio(), "ratio", move.DefaultFalseAlarmRate),
		Unbounded("moves_all_good_naive_false_alarms", totalNaive.falseAlarmRatio(), "ratio"),
	), nil
}

// runMoves runs n moves of a case, with the naive baseline or the product's deciders. The
// seeds are derived from SEED.
func runMoves(ctx context.Context, c moveCase, n int, naive bool) ([]moveResult, error) {
	seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 32)
	results := make([]moveResult, n)
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(min(moveWorkers, runtime.GOMAXPROCS(0)))
	for i := range n {
		group.Go(func() error {
			if ctx.Err() == nil {
				results[i] = runMove(seed<<32+uint64(i), c, moveWindow, naive)
			}
			return ctx.Err()
		})
	}
	return results, group.Wait()
}
