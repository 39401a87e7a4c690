// Package bench measures the figures that `make bench` prints. A Suite returns its
// figures as rows. Rows with bounds are counts, or ratios of two figures measured in the
// same run, so that they don't depend on the speed of the machine.
package bench
