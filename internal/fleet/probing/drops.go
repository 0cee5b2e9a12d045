package probing

// DropReason is why a reading or a placement that a peer has passed on is left out; "" for one that is
// not. The texts are those of reports and metrics.
type DropReason string

// The reasons.
const (
	DropTooOld           DropReason = "too old"
	DropImplausible      DropReason = "impossible"
	DropUnknownOrigin    DropReason = "unknown server or relay"
	DropOtherIncarnation DropReason = "another process of the server"
	DropQuarantined      DropReason = "of a doubted relay"
	DropUncorroborated   DropReason = "not borne out"
	DropNoLoad           DropReason = "without a load"
)

// counters are since the start, for reports and metrics.
type counters struct {
	probes   uint64 // made by turns
	received uint64 // readings of others that were new here
	dropped  map[DropReason]uint64
}

// drop counts what was left out, if it was.
func (c *counters) drop(reason DropReason, count int) {
	if reason != "" {
		c.dropped[reason] += uint64(count)
	}
}
