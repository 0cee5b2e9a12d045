package resume

import (
	"time"

	"capersail/internal/ownership"
	"capersail/internal/token"
)

// issuedToken is what is remembered of the token that the client was given last.
type issuedToken struct {
	issuedAt     time.Duration
	position     uint64
	fencingToken uint64 // 0 for none yet
}

// recordSlackDivisor: a record's end is moved once it has fallen behind by a token's lifetime over this.
const recordSlackDivisor = 4

// TokenDue tells whether a token is to be given out now: the first of an ownership at once, then with each
// TokenRenewInterval in which the position has moved, and before the one that the client has is too old.
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

// NextCheck is the instant at which TokenDue and ServerLease are to be asked again at the latest.
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

// IssueToken seals a token of now for the client; "" if there is none to give.
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
			Msg("token not sealed, the stream cannot be resumed: shorten the names of its class and tenant")
		return ""
	}
	st.tokenIssued.Store(true)
	st.extendRecord()
	return text
}

// extendRecord moves the record's end with the tokens that are given out.
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

// ConfirmToken says that the client has the token of an ownership: those of earlier ones are stale from then
// on.
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
