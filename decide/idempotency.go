package decide

// Idempotency is the effect of repeating a request of a class.
type Idempotency uint8

// The kinds of idempotency.
const (
	Idempotent        Idempotency = iota // may be repeated and rejected at any time
	IdempotentWithKey                    // servers of the DedupScope drop repeats within the DedupWindow
	NonIdempotent                        // may be sent again only if no earlier attempt can have run
)

// DedupScope is the set of servers that share the idempotency keys they have seen.
type DedupScope uint8

// The scopes that a class with IdempotentWithKey may have.
const (
	ScopeAll  DedupScope = iota // all servers
	ScopeZone                   // servers of one zone
	ScopeCell                   // servers of one cell, see Endpoint.Cell
)

// Covers reports whether two servers share the idempotency keys they have seen, given whether they are in one
// zone and in one cell.
func (s DedupScope) Covers(sameZone, sameCell bool) bool {
	switch s {
	case ScopeZone:
		return sameZone
	case ScopeCell:
		return sameCell
	}
	return true
}

// RepeatIsHarmless reports whether, after an attempt that may have run, the client may safely repeat the
// request at any server. Only then may the request be rejected, since a rejection tells the client that a new
// attempt is safe.
func (i Idempotency) RepeatIsHarmless(scope DedupScope) bool {
	switch i {
	case Idempotent:
		return true
	case NonIdempotent:
		return false
	}
	return scope == ScopeAll
}
