// Package config defines the configuration document, its strict JSON encoding and the
// validation that a whole document must pass before it is accepted or applied.
package config
