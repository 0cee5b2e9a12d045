//go:build !faults

package memory

// gullible is where tests take out the weighing of what peers tell.
func (s *Shared) gullible() {}
