// Package layout describes test meshes: their instances, addresses, settings, keys
// and configuration sections.
package layout
