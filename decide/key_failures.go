package decide

// failingKeysKept bounds the failing keys remembered, in each of two generations.
const failingKeysKept = 1024

// keyFailureCounts counts how often requests of a key were rejected since one was last opened. Old keys are
// forgotten a generation at a time.
type keyFailureCounts struct{ recent, previous map[uint64]int }

// recordFailure counts one more failure of a key and returns how many there were; key 0 stands for none.
func (f *keyFailureCounts) recordFailure(key uint64) int {
	if key == 0 {
		return 1
	}
	n := max(f.recent[key], f.previous[key]) + 1
	if f.recent == nil || len(f.recent) >= failingKeysKept {
		f.recent, f.previous = map[uint64]int{}, f.recent
	}
	f.recent[key] = n
	return n
}

// clearFailures forgets the failures of a key.
func (f *keyFailureCounts) clearFailures(key uint64) {
	delete(f.recent, key)
	delete(f.previous, key)
}
