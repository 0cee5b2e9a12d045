package probing

// DropReason is why a reading or placement received from a peer is dropped, or "" if it is not. Its texts
// appear in reports and metrics.
type DropReason string

// Reasons for dropping a reading or placement.
const (
	DropTooOld           DropReason = "too old"
	DropImplausible      DropReason = "impossible"
	DropUnknownOrigin    DropReason = "unknown server or relay"
	DropOtherIncarnation DropReason = "another process of the server"
	DropQuarantined      DropReason = "of a doubted relay"
	DropUncorroborated   DropReason = "not borne out"
	DropNoLoad           DropReason = "without a load"
)

// counters are totals since the start, for reports and metrics.
type counters struct {
	probes   uint64 // by this relay, when it was its turn
	received uint64 // readings of other relays that were new
	dropped  map[DropReason]uint64
}

// countDropped counts dropped readings or placements. An empty reason is not counted.
func (c *counters) countDropped(reason DropReason, count int) {
	if reason != "" {
		c.dropped[reason] += uint64(count)
	}
}
