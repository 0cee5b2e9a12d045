package resume

import (
	"time"

	"capersail/internal/ownership"
	"capersail/internal/token"
)

// issuedToken describes the newest token that was issued to the client.
type issuedToken struct {
	issuedAt     time.Duration
	position     uint64
	fencingToken uint64 // 0 before the first token
}

// recordSlackDivisor limits the writes of a record: its expiry time is extended only when the extension
// exceeds TokenLifetime divided by recordSlackDivisor.
const recordSlackDivisor = 4

// TokenDue reports whether a token has to be issued now. The first token of an ownership is due at once.
// Later ones are due after TokenRenewInterval if the position has changed, and after half of TokenLifetime in
// any case, so that the client's token does not expire.
func (st *Stream) TokenDue() bool {
	owned := st.fencingToken.Load()
	if owned == 0 {
		return false
	}
	if st.lastIssued.fencingToken != owned {
		return true
	}
	age := st.service.Clock.Now() - st.lastIssued.issuedAt
	moved := st.lastIssued.position != st.position.Load()
	return age >= st.service.TokenRenewInterval && moved || age >= st.service.TokenLifetime/2
}

// NextCheck returns the latest instant for the next calls of TokenDue and ServerLease.
func (st *Stream) NextCheck() time.Duration {
	s := st.service
	now := s.Clock.Now()
	next := now + s.TokenRenewInterval
	if st.lastIssued.fencingToken != 0 {
		due := st.lastIssued.issuedAt + min(s.TokenRenewInterval, s.TokenLifetime/2)
		next = max(now+time.Millisecond, due)
	}
	if st.serverLease.supported && st.fencingToken.Load() != 0 {
		next = min(next, st.serverLease.sentAt+s.leaseRenewInterval())
	}
	return next
}

// IssueToken returns a sealed token with the current position for the client. It returns "" if this relay
// does not own the stream or the token cannot be sealed.
func (st *Stream) IssueToken() string {
	owned := st.fencingToken.Load()
	if owned == 0 || st.ownershipLost.Load() {
		return ""
	}
	s := st.service
	now, wallNow, position := s.Clock.Now(), s.wallNow(), st.position.Load()
	text, err := s.keys.Load().Seal(&token.Token{
		Stream:        st.ID,
		FencingToken:  owned,
		Class:         st.Class,
		Tenant:        st.Tenant,
		Key:           st.Key,
		Group:         st.Group,
		Position:      position,
		Server:        st.serverName,
		Relay:         s.Relay,
		IssuedUnixMs:  wallNow.UnixMilli(),
		ExpiresUnixMs: wallNow.Add(s.TokenLifetime).UnixMilli(),
	})
	st.lastIssued = issuedToken{issuedAt: now, position: position, fencingToken: owned}
	if err != nil {
		s.Log.Error().Err(err).Str("class", st.Class).Str("tenant", st.Tenant).
			Msg("resume token not sealed, stream cannot be resumed: shorten the class and tenant names")
		return ""
	}
	st.tokenIssued.Store(true)
	st.extendRecord()
	return text
}

// extendRecord extends the record's expiry time so that the record outlives the tokens that are issued.
func (st *Stream) extendRecord() {
	st.mu.Lock()
	defer st.mu.Unlock()
	end := st.recordEnd()
	slack := st.service.TokenLifetime / recordSlackDivisor
	if st.requestEnded || end-st.recordExpiresUnixMs <= slack.Milliseconds() {
		return
	}
	st.recordExpiresUnixMs = end
	st.service.enqueue(ownership.ExtendRecord{Handle: st.handle, ExpiresUnixMs: end})
}

// ConfirmToken notes that the client has received the token of the ownership with this fencing token. Tokens
// of earlier ownerships become stale.
func (st *Stream) ConfirmToken(fencingToken uint64) {
	owned := st.fencingToken.Load()
	st.mu.Lock()
	defer st.mu.Unlock()
	current := owned != 0 && fencingToken == owned && st.tokenIssued.Load()
	if !current || st.confirmedFencingToken == owned || st.requestEnded {
		return
	}
	st.confirmedFencingToken = owned
	st.service.enqueue(ownership.ExtendRecord{
		Handle:         st.handle,
		TokenDelivered: true,
		ExpiresUnixMs:  st.recordExpiresUnixMs,
	})
}
