package decide

const (
	// groupOrdersKept bounds the groups whose order is kept.
	groupOrdersKept = 4096
	// groupOrderLen is how much of a group's order is kept: more than a subset, since servers may be ejected.
	groupOrderLen = 4 * probesPerPlacement
)

// groupAffinity has the connections of a group, which share work where they meet, meet on few servers: each
// group has an order of all servers, and is placed on the first of them. All relays agree on the order, by
// rendezvous hashing (highest random weight).
type groupAffinity struct {
	*environment
	endpoints     *endpointSet
	groupOrders   map[uint64]groupOrder
	subsetScratch []ServerID
}

// groupOrder is the beginning of a group's order, as it was at some listing.
type groupOrder struct {
	listingVersion uint64
	order          []ServerID
}

// groupSubset lists the servers that a group goes to now, in its order: the first probesPerPlacement that
// are not ejected, or wide times as many. It holds until the next call.
func (a *groupAffinity) groupSubset(group uint64, wide int) []ServerID {
	a.subsetScratch = a.subsetScratch[:0]
	for _, id := range a.rendezvousOrder(group) {
		if len(a.subsetScratch) == wide*probesPerPlacement {
			break
		}
		if !a.endpoints.servers[id].health.inBackoff(a.now) {
			a.subsetScratch = append(a.subsetScratch, id)
		}
	}
	return a.subsetScratch
}

// rendezvousOrder returns the beginning of a group's order, or those in it that are not ejected where too
// few of the beginning are.
func (a *groupAffinity) rendezvousOrder(group uint64) []ServerID {
	kept, ok := a.groupOrders[group]
	if !ok || kept.listingVersion != a.endpoints.listingVersion {
		if a.groupOrders == nil || len(a.groupOrders) >= groupOrdersKept {
			a.groupOrders = map[uint64]groupOrder{}
		}
		kept = groupOrder{a.endpoints.listingVersion, a.rankServers(group, groupOrderLen, false)}
		a.groupOrders[group] = kept
	}
	usable := 0
	for _, id := range kept.order {
		if !a.endpoints.servers[id].health.inBackoff(a.now) {
			usable++
		}
	}
	if usable >= probesPerPlacement || len(kept.order) < groupOrderLen {
		return kept.order
	}
	return a.rankServers(group, probesPerPlacement, true)
}

// rankServers returns the first n of all listed servers in a group's order, or of those that are not ejected.
func (a *groupAffinity) rankServers(group uint64, n int, skipEjected bool) (order []ServerID) {
	weights := make([]uint64, n)
	for _, zone := range a.endpoints.serversByZone {
		for _, id := range zone {
			s := &a.endpoints.servers[id]
			if skipEjected && s.health.inBackoff(a.now) {
				continue
			}
			if len(order) < n {
				order = append(order, -1)
			}
			insertByWeight(order, weights, id, rendezvousWeight(s.RendezvousKey, group))
		}
	}
	return order
}

// insertByWeight puts a server where it belongs in an order by falling weight, which loses its last. A place
// that holds -1 is free.
func insertByWeight(order []ServerID, weights []uint64, id ServerID, weight uint64) {
	for i := range order {
		if weight > weights[i] || order[i] < 0 {
			weight, weights[i] = weights[i], weight
			id, order[i] = order[i], id
		}
	}
}

// rendezvousWeight mixes a server's key with a group, as splitmix64 does.
func rendezvousWeight(key, group uint64) uint64 {
	weight := (key ^ group) * 0x9e3779b97f4a7c15
	return (weight ^ weight>>29) * 0xbf58476d1ce4e5b9
}
