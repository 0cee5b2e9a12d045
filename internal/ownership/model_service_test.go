package ownership

import (
	"capersail/internal/token"
)

const modelSessionMs = 6000.0

type node struct {
	record  Record
	version int32
	owner   int64 // of the holder, 0 if there is none
}

type service struct {
	nodes    map[token.StreamID]*node
	heard    map[int64]float64 // sessions, by when they were last heard of
	sessions int64
	now      float64
}

// expire ends sessions that were silent for their time-out, and deletes their holders.
func (s *service) expire() {
	for id, at := range s.heard {
		if s.now-at >= modelSessionMs {
			delete(s.heard, id)
			for _, n := range s.nodes {
				if n.owner == id {
					n.owner = 0
				}
			}
		}
	}
}

func (s *service) do(session int64, a Request) Reply {
	r := Reply{RequestID: a.ID}
	n := s.nodes[a.Stream]
	switch {
	case a.Kind == CreateAndAcquire && n != nil:
		r.Code = AlreadyExists
	case a.Kind == CreateAndAcquire:
		s.nodes[a.Stream] = &node{record: a.Record, owner: session}
	case n == nil:
		r.Code = NotFound
	case a.Kind == ReadRecord:
		r.Record, r.Version = n.record, n.version
	case a.Kind == UpdateAndAcquire && n.owner != 0:
		r.Code = AlreadyExists
	case (a.Kind == UpdateAndAcquire || a.Kind == UpdateRecord) && n.version != a.Version:
		r.Code = VersionMismatch
	case a.Kind == UpdateAndAcquire || a.Kind == UpdateRecord:
		n.version++
		n.record, r.Version = a.Record, n.version
		if a.Kind == UpdateAndAcquire {
			n.owner = session
		}
	case n.owner == 0:
		r.Code = NotFound
	case a.Kind == CheckHolder:
		r.OwnerSession = n.owner
	case a.Kind == DeleteHolder:
		if n.owner != session { // a Keeper must never take another's claim away
			r.Code = ServiceError + 1
			return r
		}
		n.owner = 0
	}
	return r
}
