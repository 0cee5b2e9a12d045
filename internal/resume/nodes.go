package resume

import (
	"path"

	"capersail/internal/ownership"
	"capersail/internal/relay"
	"capersail/internal/wire/zookeeper"
)

// sendRequest puts a Keeper's request to the claim service.
func (s *Service) sendRequest(a ownership.Request) {
	record := s.Path + "/" + a.Stream.String()
	holder := record + "/holder"
	done := func(z zookeeper.Answer) {
		r := ownership.Reply{RequestID: a.ID, Version: z.Stat.Version, OwnerSession: z.Stat.Owner}
		switch z.Code {
		case zookeeper.OK:
		case zookeeper.NoNode:
			r.Code = ownership.NotFound
		case zookeeper.NodeExists:
			r.Code = ownership.AlreadyExists
		case zookeeper.BadVersion:
			r.Code = ownership.VersionMismatch
		case zookeeper.Lost:
			r.Code = ownership.NoReply
		default:
			s.Log.Warn().Int32("code", int32(z.Code)).Str("node", record).Msg("claim service refuses a request")
			r.Code = ownership.ServiceError
		}
		if a.Kind == ownership.ReadRecord && r.Code == ownership.OK {
			var err error
			if r.Record, err = ownership.ParseRecord(z.Data); err != nil {
				s.Log.Warn().Str("node", record).Msg("a record of another version; not used")
				r.Code = ownership.ServiceError
			}
		}
		s.enqueue(r)
	}
	switch a.Kind {
	case ownership.ReadRecord:
		s.session.Get(record, done)
	case ownership.CreateAndAcquire:
		s.session.Multi([]zookeeper.Step{zookeeper.CreateStep(record, a.Record.Marshal(), false),
			zookeeper.CreateStep(holder, []byte(s.Relay), true)}, done)
	case ownership.UpdateAndAcquire:
		s.session.Multi([]zookeeper.Step{zookeeper.SetStep(record, a.Record.Marshal(), a.Version),
			zookeeper.CreateStep(holder, []byte(s.Relay), true)}, done)
	case ownership.CheckHolder:
		s.session.Sync(holder, func(zookeeper.Answer) {})
		s.session.Exists(holder, done)
	case ownership.DeleteHolder:
		s.session.Delete(holder, -1, done)
	case ownership.UpdateRecord:
		s.session.Set(record, a.Record.Marshal(), a.Version, done)
	}
}

// sessionEvents is the Service as its session sees it.
type sessionEvents Service

func (e *sessionEvents) Connected(session int64, granted, sentAt float64) {
	s := (*Service)(e)
	s.Log.Info().Float64("session_ms", granted).Msg("claim service: connected")
	for i, p := range ancestors(s.Path) { // made by whoever comes first
		s.session.Create(p, nil, false, func(a zookeeper.Answer) {
			if a.Code != zookeeper.OK && a.Code != zookeeper.NodeExists && a.Code != zookeeper.Lost && i == 0 {
				s.Log.Error().Int32("code", int32(a.Code)).Str("path", p).Msg("claim service: the path cannot be made")
			}
		})
	}
	s.enqueue(ownership.SessionConnected{SessionID: session, Timeout: relay.Duration(granted), SentAt: relay.Duration(sentAt)})
}

func (e *sessionEvents) Disconnected() { (*Service)(e).enqueue(ownership.SessionDisconnected{}) }

func (e *sessionEvents) Expired() {
	(*Service)(e).Log.Warn().Msg("claim service: session expired")
	(*Service)(e).enqueue(ownership.SessionExpired{})
}

func (e *sessionEvents) Answered(sentAt float64) {
	(*Service)(e).enqueue(ownership.Renewed{SentAt: relay.Duration(sentAt)})
}

// ancestors lists a path and those above it, the topmost first.
func ancestors(p string) []string {
	if p == "/" || p == "." {
		return nil
	}
	return append(ancestors(path.Dir(p)), p)
}
