// Package cluster starts several processes of the real program on loopback, puts faults
// between them by schedules that are drawn from a seed or read from a file, and reads their histories. The program is
// built with the tag faults for it; the shipped one has no seams.
package cluster
