package resume

import (
	"path"
	"time"

	"capersail/internal/ownership"
	"capersail/internal/relay"
	"capersail/internal/wire/zookeeper"
)

// recordPath returns the path of the node with a stream's record.
func (s *Service) recordPath(stream string) string { return s.Path + "/" + stream }

// holderPath returns the path of the ephemeral holder node below a record.
func holderPath(record string) string { return record + "/holder" }

// replyCodes maps the ZooKeeper codes that package ownership distinguishes; all others are ServiceError.
var replyCodes = map[zookeeper.Code]ownership.ReplyCode{
	zookeeper.OK:             ownership.OK,
	zookeeper.NoNode:         ownership.NotFound,
	zookeeper.NodeExists:     ownership.AlreadyExists,
	zookeeper.BadVersion:     ownership.VersionMismatch,
	zookeeper.ConnectionLoss: ownership.NoReply,
}

// sendRequest sends a request of the Lease to the ownership service, and enqueues the reply as an event.
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

// replyOf converts an answer of the ownership service to a Reply for the Lease. A record that cannot be
// decoded counts as ServiceError.
func (s *Service) replyOf(q ownership.Request, node string, a zookeeper.Answer) ownership.Reply {
	r := ownership.Reply{RequestID: q.ID, Version: a.Stat.Version, OwnerSession: a.Stat.EphemeralOwner}
	code, known := replyCodes[a.Code]
	if !known {
		s.Log.Warn().Int32("code", int32(a.Code)).Str("node", node).
			Msg("ownership service rejected a request, it is retried: look up the code in ZooKeeper's manual")
		code = ownership.ServiceError
	}
	if q.Kind == ownership.ReadRecord && code == ownership.OK {
		var err error
		if r.Record, err = ownership.ParseRecord(a.Data); err != nil {
			s.Log.Warn().Err(err).Str("node", node).
				Msg("ownership record ignored: check whether relays of a newer version use this path")
			code = ownership.ServiceError
		}
	}
	r.Code = code
	return r
}

// sessionEvents implements the event interface of the ZooKeeper session for a Service.
type sessionEvents Service

// Connected creates the path of the records if it does not exist, and notifies the Lease.
func (e *sessionEvents) Connected(session int64, granted, sentAt time.Duration) {
	s := (*Service)(e)
	s.Log.Info().Float64("session_ms", relay.Millis(granted)).Msg("ownership service connected")
	for i, p := range ancestors(s.Path) { // created by the first relay that connects
		s.session.Create(p, nil, false, func(a zookeeper.Answer) {
			failed := a.Code != zookeeper.OK && a.Code != zookeeper.NodeExists &&
				a.Code != zookeeper.ConnectionLoss
			if failed && i == 0 {
				s.Log.Error().Int32("code", int32(a.Code)).Str("path", p).
					Msg("ownership service rejected the path of the records, no stream gets a token: " +
						"check the relay's permissions for the path")
			}
		})
	}
	s.enqueue(ownership.SessionConnected{
		SessionID: session,
		Timeout:   granted,
		SentAt:    sentAt,
	})
}

// Disconnected notifies the Lease that the connection was lost, so that no more replies arrive.
func (e *sessionEvents) Disconnected() { (*Service)(e).enqueue(ownership.SessionDisconnected{}) }

// Expired notifies the Lease that the session has expired.
func (e *sessionEvents) Expired() {
	s := (*Service)(e)
	s.Log.Warn().
		Msg("ownership service session expired, streams with tokens are migrated: check service and host")
	s.enqueue(ownership.SessionExpired{})
}

// AnswerReceived notifies the Lease that the service has answered a message sent at sentAt.
func (e *sessionEvents) AnswerReceived(sentAt time.Duration) {
	(*Service)(e).enqueue(ownership.SessionRenewed{SentAt: sentAt})
}

// ancestors returns a path and all of its parents below the root, topmost first.
func ancestors(p string) []string {
	if p == "/" || p == "." {
		return nil
	}
	return append(ancestors(path.Dir(p)), p)
}
