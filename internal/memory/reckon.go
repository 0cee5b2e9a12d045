package memory

import (
	"math"

	"capersail/decide"
	"capersail/internal/fleet/member"
)

// Reckon is what the module is to reckon with: now is the module's time, own the Keeper's.
func Reckon(now, own float64, r member.Reckoning) decide.Fleet {
	f := decide.Fleet{Relays: r.Relays, Share: r.Share, Others: r.Others, Held: r.Held, Sent: r.Sent}
	if !math.IsInf(r.Until, 1) {
		f.Until = Duration(now + r.Until - own)
	}
	return f
}
