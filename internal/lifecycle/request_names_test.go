package lifecycle

import "testing"

// The two processes of an upgrade did not know each other's requests, so that a request could be opened at
// both. A name that one process uses must be refused by the other, until it is released or the process ends.
func TestNamesAreSharedBetweenProcesses(t *testing.T) {
	dir := t.TempDir()
	var processes [2]*nameLocks // as two processes: the locks belong to the open file
	for i := range processes {
		var err error
		if processes[i], err = openNameLocks(dir); err != nil {
			t.Fatal(err)
		}
	}
	old, next := processes[0], processes[1]
	expect := func(when string, at *nameLocks, name string, want bool) {
		t.Helper()
		if got := at.Claim(name); got != want {
			t.Errorf("%s: claim of %s is %v, want %v", when, name, got, want)
		}
	}
	expect("a new name", old, "a", true)
	expect("a name of the other process", next, "a", false)
	expect("another name", next, "b", true)
	expect("a name of the other process", old, "b", false)
	old.Release("a")
	expect("a released name", next, "a", true)
	next.file.Close() // as its end does
	expect("a name of a process that has ended", old, "a", true)
	expect("a name of a process that has ended", old, "b", true)
}
