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
				refused := actionsOf[Reject](r.do(req))
				if len(refused) != 1 || refused[0].RetryAfter > time.Second {
					t.Fatalf("want one rejection within the cap: %v", refused)
				}
				last = refused[0]
			}
			most = max(most, last.RetryAfter)
		}
		return most
	}
	if once, thrice := longest(1), longest(3); once > 300*ms || thrice <= once {
		t.Errorf("retry-after up to %v after one failure, %v after three", once, thrice)
	}
}
