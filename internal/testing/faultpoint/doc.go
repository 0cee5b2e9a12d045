// Package faultpoint is where tests put faults into a process: between it and other relays or servers, and
// into its clock. The fault injection points are compiled in by the build tag faults only; the shipped
// program has none.
//
// The file that CAPERSAIL_FAULTS names holds the Rules, read again when it changes; CAPERSAIL_HISTORY names a
// file to which the process appends a HistoryLine for each change of what it goes by. The test cluster
// (internal/testing/cluster) writes the one and reads the other. The package never decides by itself: without
// the two files nothing is different.
package faultpoint
