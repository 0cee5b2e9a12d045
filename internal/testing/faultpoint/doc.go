// Package faultpoint injects faults into a process under test: into its connections to other relays and
// servers, and into its clock. The fault injection points are compiled in with the build tag faults only; the
// released program contains none.
//
// The environment variable CAPERSAIL_FAULTS names a file with Rules, which is read again whenever it changes.
// CAPERSAIL_HISTORY names a file to which the process appends a HistoryLine whenever its membership state
// changes. The test cluster (internal/testing/cluster) writes the first file and reads the second. Without
// the two files the package changes nothing.
package faultpoint
