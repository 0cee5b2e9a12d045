package ownership

import (
	"time"

	"capersail/internal/token"
)

const modelSession = 6000 * time.Millisecond

// holderOwnedByOther is the model's reply code for a DeleteHolder that would delete another session's holder.
const holderOwnedByOther = ServiceError + 1

// modelService is the model's ownership modelService.
type modelService struct {
	nodes       map[token.StreamID]*modelNode
	seenAt      map[int64]time.Duration // by session: time of the last message
	lastSession int64
	now         time.Duration
}

// modelNode is a record with its holder.
type modelNode struct {
	record  Record
	version int32
	owner   int64 // session that owns the holder; 0 if there is none
}

// expireSessions expires sessions that sent nothing for modelSession, and deletes their holders.
func (s *modelService) expireSessions() {
	for id, at := range s.seenAt {
		if s.now-at < modelSession {
			continue
		}
		delete(s.seenAt, id)
		for _, n := range s.nodes {
			if n.owner == id {
				n.owner = 0
			}
		}
	}
}

// execute executes one request of a session.
func (s *modelService) execute(session int64, q Request) Reply {
	r := Reply{RequestID: q.ID}
	n := s.nodes[q.Stream]
	switch {
	case q.Kind == CreateAndAcquire && n != nil:
		r.Code = AlreadyExists
	case q.Kind == CreateAndAcquire:
		s.nodes[q.Stream] = &modelNode{record: q.Record, owner: session}
	case n == nil:
		r.Code = NotFound
	case q.Kind == ReadRecord:
		r.Record, r.Version = n.record, n.version
	case q.Kind == UpdateAndAcquire && n.owner != 0:
		r.Code = AlreadyExists
	case (q.Kind == UpdateAndAcquire || q.Kind == UpdateRecord) && n.version != q.Version:
		r.Code = VersionMismatch
	case q.Kind == UpdateAndAcquire || q.Kind == UpdateRecord:
		n.version++
		n.record, r.Version = q.Record, n.version
		if q.Kind == UpdateAndAcquire {
			n.owner = session
		}
	case n.owner == 0:
		r.Code = NotFound
	case q.Kind == CheckHolder:
		r.OwnerSession = n.owner
	case q.Kind == DeleteHolder && n.owner != session:
		r.Code = holderOwnedByOther
	case q.Kind == DeleteHolder:
		n.owner = 0
	}
	return r
}
