package discovery

// listConfirmation defers a complete list that would discard current information: one without any server, or
// with an older version than the last one applied from the same address. Such a list is correct from a
// service that has been restarted from scratch, but wrong from a replica that lags behind or has not loaded
// its servers yet. Therefore another call is made at once, and the list is applied if the second call
// delivers such a list too.
type listConfirmation struct {
	address string // source of the last list applied
	pending bool   // a list was deferred, and none has been applied since
}

// accepts reports whether a list from address may be applied, where the current list has the given version
// and number of servers. If not, the next list is accepted.
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
