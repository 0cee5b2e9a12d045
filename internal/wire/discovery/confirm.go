package discovery

// listConfirmation holds back a whole list that takes back what is known: one without any server, or of an older version than the one
// held from the same address. It may be true, as a service may have begun anew, or a copy that lags behind may have
// answered, or one that has not read its servers yet. So another call is made at once, and what two in a row say is taken.
type listConfirmation struct {
	address string // that the list held came from
	pending bool   // one was held back, and no list has been taken since
}

// accepts tells whether a list is to be taken in, as one of held servers and a version is held.
func (d *listConfirmation) accepts(l *EndpointList, version int64, held int, address string) bool {
	older := version != unknownVersion && l.Version < version && d.address == address
	if l.Complete && !d.pending && (older || len(l.Endpoints) == 0 && held > 0) {
		d.pending = true
		return false
	}
	d.address, d.pending = address, false
	return true
}
