package discovery

// listConfirmation holds back a complete list that takes back what is known: one without any server, or of an
// older version than the one held from the same address. A service that has begun anew sends such a list
// rightly; a replica that lags behind, or has not read its servers yet, does not. So another call is made at
// once, and what two in a row say is taken in.
type listConfirmation struct {
	address string // that the list held came from
	pending bool   // one was held back, and no list has been taken in since
}

// accepts tells whether a list from an address is to be taken in by one that holds so many servers of a
// version.
func (c *listConfirmation) accepts(list *EndpointList, version int64, servers int, address string) bool {
	older := version != unknownVersion && list.Version < version && c.address == address
	empty := len(list.Endpoints) == 0 && servers > 0
	if list.Complete && !c.pending && (older || empty) {
		c.pending = true
		return false
	}
	c.address, c.pending = address, false
	return true
}
