package resume

import (
	"path"
	"time"

	"capersail/internal/ownership"
	"capersail/internal/relay"
	"capersail/internal/wire/zookeeper"
)

// recordPath is the node of a stream's record, and holderPath the ephemeral node of its owner below it.
func (s *Service) recordPath(stream string) string { return s.Path + "/" + stream }

func holderPath(record string) string { return record + "/holder" }

// replyCodes are the codes that package ownership tells apart.
var replyCodes = map[zookeeper.Code]ownership.ReplyCode{
	zookeeper.OK:             ownership.OK,
	zookeeper.NoNode:         ownership.NotFound,
	zookeeper.NodeExists:     ownership.AlreadyExists,
	zookeeper.BadVersion:     ownership.VersionMismatch,
	zookeeper.ConnectionLoss: ownership.NoReply,
}

// sendRequest puts the Lease's request to the ownership service; the reply becomes an event.
func (s *Service) sendRequest(q ownership.Request) {
	record := s.recordPath(q.Stream.String())
	holder := holderPath(record)
	done := func(a zookeeper.Answer) { s.enqueue(s.replyOf(q, record, a)) }
	switch q.Kind {
	case ownership.ReadRecord:
		s.session.Get(record, done)
	case ownership.CreateAndAcquire:
		s.session.Multi([]zookeeper.Step{
			zookeeper.CreateStep(record, q.Record.Marshal(), false),
			zookeeper.CreateStep(holder, []byte(s.Relay), true),
		}, done)
	case ownership.UpdateAndAcquire:
		s.session.Multi([]zookeeper.Step{
			zookeeper.SetStep(record, q.Record.Marshal(), q.Version),
			zookeeper.CreateStep(holder, []byte(s.Relay), true),
		}, done)
	case ownership.CheckHolder:
		s.session.Sync(holder, func(zookeeper.Answer) {})
		s.session.Exists(holder, done)
	case ownership.DeleteHolder:
		s.session.Delete(holder, -1, done)
	case ownership.UpdateRecord:
		s.session.Set(record, q.Record.Marshal(), q.Version, done)
	}
}

// replyOf is the service's answer as the Lease takes it. A record that cannot be read is an error of the
// service's.
func (s *Service) replyOf(q ownership.Request, node string, a zookeeper.Answer) ownership.Reply {
	r := ownership.Reply{RequestID: q.ID, Version: a.Stat.Version, OwnerSession: a.Stat.EphemeralOwner}
	code, known := replyCodes[a.Code]
	if !known {
		s.Log.Warn().Int32("code", int32(a.Code)).Str("node", node).
			Msg("ownership service rejected a request, it is retried: look its code up in ZooKeeper's pages")
		code = ownership.ServiceError
	}
	if q.Kind == ownership.ReadRecord && code == ownership.OK {
		var err error
		if r.Record, err = ownership.ParseRecord(a.Data); err != nil {
			s.Log.Warn().Err(err).Str("node", node).
				Msg("ownership record ignored: a newer relay may write the same path")
			code = ownership.ServiceError
		}
	}
	r.Code = code
	return r
}

// sessionEvents is the Service as its session sees it.
type sessionEvents Service

// Connected makes the path on which records lie, if need be, and notifies the Lease.
func (e *sessionEvents) Connected(session int64, granted, sentAt time.Duration) {
	s := (*Service)(e)
	s.Log.Info().Float64("session_ms", relay.Millis(granted)).Msg("ownership service connected")
	for i, p := range ancestors(s.Path) { // created by whoever comes first
		s.session.Create(p, nil, false, func(a zookeeper.Answer) {
			failed := a.Code != zookeeper.OK && a.Code != zookeeper.NodeExists &&
				a.Code != zookeeper.ConnectionLoss
			if failed && i == 0 {
				s.Log.Error().Int32("code", int32(a.Code)).Str("path", p).
					Msg("ownership service rejected the path of the records, no stream gets a token: " +
						"check its rights")
			}
		})
	}
	s.enqueue(ownership.SessionConnected{
		SessionID: session,
		Timeout:   granted,
		SentAt:    sentAt,
	})
}

// Disconnected notifies the Lease that no replies come.
func (e *sessionEvents) Disconnected() { (*Service)(e).enqueue(ownership.SessionDisconnected{}) }

// Expired notifies the Lease that the session is gone.
func (e *sessionEvents) Expired() {
	s := (*Service)(e)
	s.Log.Warn().
		Msg("ownership service session expired, streams with tokens are migrated: check it and this machine")
	s.enqueue(ownership.SessionExpired{})
}

// AnswerReceived notifies the Lease that something sent at that time was answered.
func (e *sessionEvents) AnswerReceived(sentAt time.Duration) {
	(*Service)(e).enqueue(ownership.Renewed{SentAt: sentAt})
}

// ancestors lists a path and those above it, the topmost first.
func ancestors(p string) []string {
	if p == "/" || p == "." {
		return nil
	}
	return append(ancestors(path.Dir(p)), p)
}
