package ownership

import (
	"testing"

	"capersail/internal/wire/splice"
)

// The margin has room for one write to a stuck client. Were a write to take longer, two relays could serve
// one stream.
func TestMarginCoversAWriteToAStuckClient(t *testing.T) {
	if write := splice.WriteTimeout; write > stuckWrite {
		t.Errorf("a write takes up to %v, the margin has %v for it", write, stuckWrite)
	}
	if sum := stuckWrite + tickInterval + spare; sum != ExpiryMargin {
		t.Errorf("the parts make %v, the margin is %v", sum, ExpiryMargin)
	}
}
