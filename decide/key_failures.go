package decide

// maxFailingKeys bounds the failing keys stored in each of two generations.
const maxFailingKeys = 1024

// keyFailureCounts counts the rejections of requests with a key since a connection of that key was last
// opened. Old keys are dropped a generation at a time.
type keyFailureCounts struct{ recent, previous map[uint64]int }

// recordFailure counts a failure of a key and returns the number of failures so far. Key 0 stands for no key
// and always returns 1.
func (f *keyFailureCounts) recordFailure(key uint64) int {
	if key == 0 {
		return 1
	}
	n := max(f.recent[key], f.previous[key]) + 1
	if f.recent == nil || len(f.recent) >= maxFailingKeys {
		f.recent, f.previous = map[uint64]int{}, f.recent
	}
	f.recent[key] = n
	return n
}

// clearFailures drops the failures of a key.
func (f *keyFailureCounts) clearFailures(key uint64) {
	delete(f.recent, key)
	delete(f.previous, key)
}
