// Package member maintains the membership of the mesh in the manner of SWIM: which
// instances exist, where they are, what upstream each one announces, and whether they
// are alive. Table holds the records, Detector decides which members to probe.
package member
