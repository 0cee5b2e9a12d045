package resume

import (
	"capersail/internal/ownership"
	"capersail/internal/token"
)

// TokenDue tells whether a token is to be given out now: the first of a generation at once, then with each Renew
// in which the position has moved, and before the one that the client has is too old.
func (st *Stream) TokenDue() bool {
	gen := st.fencingToken.Load()
	if gen == 0 {
		return false
	}
	age := st.service.Clock.NowMillis() - st.issuedAt
	return st.issuedFencingToken != gen || age >= st.service.TokenRenewInterval && st.issuedPosition != st.position.Load() || age >= st.service.TokenLifetime/2
}

// NextCheck is when Due and Lease are to be asked again at the latest.
func (st *Stream) NextCheck() float64 {
	now := st.service.Clock.NowMillis()
	next := now + st.service.TokenRenewInterval
	if st.issuedFencingToken != 0 {
		next = max(now+1, st.issuedAt+min(st.service.TokenRenewInterval, st.service.TokenLifetime/2))
	}
	if st.serverLeased && st.fencingToken.Load() != 0 {
		next = min(next, st.leaseSentAt+st.service.SessionTimeout*leaseRenewFraction)
	}
	return next
}

// IssueToken seals a token for now; "" if there is none to give.
func (st *Stream) IssueToken() string {
	gen := st.fencingToken.Load()
	if gen == 0 || st.ownershipLost.Load() {
		return ""
	}
	now, wall, pos := st.service.Clock.NowMillis(), st.service.unixNow(), st.position.Load()
	text, err := st.service.keys.Load().Seal(&token.Token{Stream: st.ID, FencingToken: gen, Class: st.Class, Tenant: st.Tenant,
		Key: st.Key, Group: st.Group, Position: pos, Server: st.serverName, Relay: st.service.Relay, IssuedUnixMs: wall,
		ExpiresUnixMs: wall + int64(st.service.TokenLifetime)})
	st.issuedAt, st.issuedPosition, st.issuedFencingToken = now, pos, gen
	if err != nil {
		st.service.Log.Error().Err(err).Str("class", st.Class).Str("tenant", st.Tenant).Msg("no token can be sealed")
		return ""
	}
	st.tokenIssued.Store(true)
	st.mu.Lock()
	defer st.mu.Unlock()
	if end := wall + int64(2*st.service.TokenLifetime+st.service.MaxClockSkew); float64(end-st.recordExpiresUnixMs) > st.service.TokenLifetime/4 && !st.ended {
		st.recordExpiresUnixMs = end
		st.service.enqueue(ownership.ExtendRecord{Handle: st.handle, ExpiresUnixMs: end})
	}
	return text
}

// ConfirmToken says that the client has the token of a generation: earlier ones are worth nothing from then on.
func (st *Stream) ConfirmToken(generation uint64) {
	gen := st.fencingToken.Load()
	st.mu.Lock()
	defer st.mu.Unlock()
	if generation != gen || gen == 0 || st.deliveredToken == gen || st.ended || !st.tokenIssued.Load() {
		return
	}
	st.deliveredToken = gen
	st.service.enqueue(ownership.ExtendRecord{Handle: st.handle, TokenDelivered: true, ExpiresUnixMs: st.recordExpiresUnixMs})
}
