package decide

import (
	"testing"
	"time"
)

func TestRetryAfterGrowsWithTheKeysFailures(t *testing.T) {
	longest := func(failures int) (most time.Duration) {
		for seed := range uint64(60) {
			r := newRelay(t, settings(), seed, 0)
			var last Reject
			for id := range RequestID(failures) {
				req := newRequest(id + 1)
				req.Key = 42
				rejections := actionsOf[Reject](r.handle(req))
				if len(rejections) != 1 || rejections[0].RetryAfter > time.Second {
					t.Fatalf("rejections %v, want one with a Retry-After of at most 1 s", rejections)
				}
				last = rejections[0]
			}
			most = max(most, last.RetryAfter)
		}
		return most
	}
	if once, thrice := longest(1), longest(3); once > 300*ms || thrice <= once {
		t.Errorf(
			"Retry-After of up to %v after one failure and %v after three, want at most 300 ms, then more",
			once, thrice)
	}
}
