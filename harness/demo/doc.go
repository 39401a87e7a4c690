// Package demo generates the files of two demonstration meshes, one for each
// deployment, and drives them: it edits the configuration, sends calls and runs a move
// in each. The processes are started by harness/demo.sh.
package demo
