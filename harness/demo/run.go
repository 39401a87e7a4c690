package demo

import (
	"context"
	"fmt"
	"io"

	"golang.org/x/sync/errgroup"

	"corianderwood.example/corianderwood/harness/layout"
)

// wantOutcomes holds the expected final state of the move in each mesh, with the values
// of operator.MoveDone and operator.MoveRolledBack.
var wantOutcomes = map[string]string{"kapiti": "done", "dyffryn": "taken-back"}

// Run drives both meshes, whose processes must be running, and prints `demo: ok` if
// both moves had the expected outcome.
func Run(ctx context.Context, dir string, out io.Writer) error {
	group, groupCtx := errgroup.WithContext(ctx)
	for _, mesh := range meshes() {
		group.Go(func() error { return runMesh(groupCtx, dir, mesh, out) })
	}
	if err := group.Wait(); err != nil {
		return err
	}
	fmt.Fprintln(out, "demo: ok")
	return nil
}

func runMesh(ctx context.Context, dir string, mesh layout.Mesh, out io.Writer) error {
	d, err := newDriver(dir, mesh, out)
	if err != nil {
		return err
	}
	if err := d.waitForStart(ctx); err != nil {
		return err
	}
	if err := d.editSection(ctx, d.admin, 0, mesh.Shape.Section(), "first document"); err != nil {
		return err
	}
	load := NewLoad(mesh)
	loadCtx, stop := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		load.Run(loadCtx)
	}()
	err = d.runMove(ctx, wantOutcomes[mesh.Shape.Name])
	stop()
	<-done
	d.printf("calls by outcome: %s", load.Report())
	return err
}
