package ownership

import (
	"testing"

	"capersail/internal/wire/splice"
)

// Guards against an expiry margin that is shorter than a write to a client that does not read: two relays
// could then serve one stream.
func TestMarginCoversAWriteToAStuckClient(t *testing.T) {
	if write := splice.WriteTimeout; write > stuckWriteTimeout {
		t.Errorf("a write to a stuck client takes up to %v, but ExpiryMargin includes only %v for it", write,
			stuckWriteTimeout)
	}
	if sum := stuckWriteTimeout + tickInterval + expirySlack; sum != ExpiryMargin {
		t.Errorf("the parts of ExpiryMargin add up to %v, ExpiryMargin is %v", sum, ExpiryMargin)
	}
}
