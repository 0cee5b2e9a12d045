package ownership

import (
	"time"

	"capersail/internal/token"
)

const modelSession = 6000 * time.Millisecond

// holderOfAnother is the reply code of a DeleteHolder that would take another relay's ownership away.
const holderOfAnother = ServiceError + 1

// service is the model's ownership service.
type service struct {
	nodes    map[token.StreamID]*node
	heard    map[int64]time.Duration // by session: when something last came
	sessions int64
	now      time.Duration
}

// node is a record and its holder.
type node struct {
	record  Record
	version int32
	owner   int64 // session of the holder, 0 if there is none
}

// expire ends sessions that were silent for their timeout, and deletes their holders.
func (s *service) expire() {
	for id, at := range s.heard {
		if s.now-at < modelSession {
			continue
		}
		delete(s.heard, id)
		for _, n := range s.nodes {
			if n.owner == id {
				n.owner = 0
			}
		}
	}
}

// do does one request of a session.
func (s *service) do(session int64, q Request) Reply {
	r := Reply{RequestID: q.ID}
	n := s.nodes[q.Stream]
	switch {
	case q.Kind == CreateAndAcquire && n != nil:
		r.Code = AlreadyExists
	case q.Kind == CreateAndAcquire:
		s.nodes[q.Stream] = &node{record: q.Record, owner: session}
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
		r.Code = holderOfAnother
	case q.Kind == DeleteHolder:
		n.owner = 0
	}
	return r
}
