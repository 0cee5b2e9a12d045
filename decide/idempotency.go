package decide

// Idempotency says what a repeat of a request would do.
type Idempotency uint8

// The kinds of class by what a repeat does.
const (
	Idempotent        Idempotency = iota // may be repeated and rejected freely
	IdempotentWithKey                    // servers of the DedupScope drop repeats within the DedupWindow
	NonIdempotent                        // may be sent again only if no earlier attempt can have run
)

// DedupScope is the set of servers that share the idempotency keys they have seen.
type DedupScope uint8

// The scopes of a class that is IdempotentWithKey.
const (
	ScopeAll  DedupScope = iota // all servers
	ScopeZone                   // those of a zone
	ScopeCell                   // those of a cell, see Endpoint.Cell
)

// Covers tells whether two servers share the idempotency keys they have seen, by whether they stand in one
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

// RepeatIsHarmless tells whether, after an attempt that may have run, a repeat by the client does no harm
// whichever server it reaches: only then may the request be rejected, which says so.
func (i Idempotency) RepeatIsHarmless(scope DedupScope) bool {
	switch i {
	case Idempotent:
		return true
	case NonIdempotent:
		return false
	}
	return scope == ScopeAll
}
