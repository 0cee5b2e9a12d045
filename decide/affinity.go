package decide

const (
	// maxGroupOrders bounds the number of groups whose rendezvous order is cached.
	maxGroupOrders = 4096
	// groupOrderLen is how many servers of a group's order are cached: more than a subset, since some may be
	// ejected.
	groupOrderLen = 4 * probesPerPlacement
)

// groupAffinity places the connections of a group on few servers, as connections of one group share work at a
// server. Each group has an order of all servers and uses the first of them. All relays compute the same
// order, by rendezvous hashing (highest random weight).
type groupAffinity struct {
	*environment
	endpoints     *endpointSet
	groupOrders   map[uint64]groupOrder
	subsetScratch []ServerID
}

// groupOrder is the cached beginning of a group's order at a listing version.
type groupOrder struct {
	listingVersion uint64
	order          []ServerID
}

// groupSubset returns the servers that a group uses now, in its order: the first probesPerPlacement that are
// not ejected, times widthFactor. The slice is valid until the next call.
func (a *groupAffinity) groupSubset(group uint64, widthFactor int) []ServerID {
	a.subsetScratch = a.subsetScratch[:0]
	for _, id := range a.rendezvousOrder(group) {
		if len(a.subsetScratch) == widthFactor*probesPerPlacement {
			break
		}
		if !a.endpoints.servers[id].health.inBackoff(a.now) {
			a.subsetScratch = append(a.subsetScratch, id)
		}
	}
	return a.subsetScratch
}

// rendezvousOrder returns the cached beginning of a group's order. If too few of its servers are not ejected,
// it returns the beginning of the order of all servers that are not ejected.
func (a *groupAffinity) rendezvousOrder(group uint64) []ServerID {
	cached, ok := a.groupOrders[group]
	if !ok || cached.listingVersion != a.endpoints.listingVersion {
		if a.groupOrders == nil || len(a.groupOrders) >= maxGroupOrders {
			a.groupOrders = map[uint64]groupOrder{}
		}
		cached = groupOrder{a.endpoints.listingVersion, a.rankServers(group, groupOrderLen, false)}
		a.groupOrders[group] = cached
	}
	usable := 0
	for _, id := range cached.order {
		if !a.endpoints.servers[id].health.inBackoff(a.now) {
			usable++
		}
	}
	if usable >= probesPerPlacement || len(cached.order) < groupOrderLen {
		return cached.order
	}
	return a.rankServers(group, probesPerPlacement, true)
}

// rankServers returns the first n listed servers of a group's order, or with skipEjected the first n of those
// that are not ejected.
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

// insertByWeight inserts a server into an order of descending weights, which drops its last server. An entry
// of -1 is free.
func insertByWeight(order []ServerID, weights []uint64, id ServerID, weight uint64) {
	for i := range order {
		if weight > weights[i] || order[i] < 0 {
			weight, weights[i] = weights[i], weight
			id, order[i] = order[i], id
		}
	}
}

// rendezvousWeight hashes a server's key with a group, with the mixing steps of splitmix64.
func rendezvousWeight(key, group uint64) uint64 {
	weight := (key ^ group) * 0x9e3779b97f4a7c15
	return (weight ^ weight>>29) * 0xbf58476d1ce4e5b9
}
