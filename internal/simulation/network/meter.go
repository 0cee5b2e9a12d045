package network

import (
	"slices"
	"sync"
	"time"
)

// What a packet and a connection cost beside their payload on an IPv4 network, so that budgets for a wire
// can be held against what a relay writes: IP and UDP headers; and for a connection its set-up, end and
// acknowledgements at each of its two ends.
const (
	PacketHeader     = 28
	ConnectionHeader = 320
)

// Sample is what went out of and into an endpoint in some time.
type Sample struct {
	PacketsOut, PacketsIn int
	BytesOut, BytesIn     int // of packets
	Connections           int // that the endpoint opened
	StreamOut, StreamIn   int // bytes of streams
}

// Out is all bytes of payload that went out.
func (s Sample) Out() int { return s.BytesOut + s.StreamOut }

// In is all bytes of payload that came in.
func (s Sample) In() int { return s.BytesIn + s.StreamIn }

// WireOut is what went out with the headers of a wire.
func (s Sample) WireOut() int {
	return s.Out() + s.PacketsOut*PacketHeader + s.Connections*ConnectionHeader
}

// WireIn is what came in with the headers of a wire.
func (s Sample) WireIn() int {
	return s.In() + s.PacketsIn*PacketHeader + s.Connections*ConnectionHeader
}

// Add adds another Sample's figures.
func (s *Sample) Add(o Sample) {
	s.PacketsOut += o.PacketsOut
	s.PacketsIn += o.PacketsIn
	s.BytesOut += o.BytesOut
	s.BytesIn += o.BytesIn
	s.Connections += o.Connections
	s.StreamOut += o.StreamOut
	s.StreamIn += o.StreamIn
}

// Record is what went through one endpoint since Network.Record.
type Record struct {
	Address string
	Total   Sample
	Seconds []Sample // whole ones only
}

// Percentile is the value that the given part of all whole seconds stay at or below, by a measure of a
// Sample.
func (r Record) Percentile(part float64, of func(Sample) int) int {
	if len(r.Seconds) == 0 {
		return 0
	}
	values := make([]int, len(r.Seconds))
	for i, s := range r.Seconds {
		values[i] = of(s)
	}
	slices.Sort(values)
	rank := int(part*float64(len(values))+0.999999) - 1
	return values[min(max(rank, 0), len(values)-1)]
}

// meter counts at one address.
type meter struct {
	network *Network

	mu             sync.Mutex
	recordingStart int64 // the recording that seconds belong to
	total          Sample
	seconds        []Sample
}

// packet counts a packet that goes out or comes in.
func (m *meter) countPacket(now time.Time, out, in int) {
	s := Sample{BytesOut: out, BytesIn: in}
	if out > 0 {
		s.PacketsOut = 1
	} else {
		s.PacketsIn = 1
	}
	m.add(now, s)
}

// stream counts bytes of a stream.
func (m *meter) countStream(now time.Time, out, in int) {
	m.add(now, Sample{StreamOut: out, StreamIn: in})
}

func (m *meter) countConnection(now time.Time) { m.add(now, Sample{Connections: 1}) }

// count adds to the recording that runs, if one does.
func (m *meter) add(now time.Time, s Sample) {
	recordingStart := m.network.recordingStart.Load()
	if recordingStart == 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.recordingStart != recordingStart {
		m.recordingStart, m.total, m.seconds = recordingStart, Sample{}, m.seconds[:0]
	}
	second := int((now.UnixNano() - recordingStart) / int64(time.Second))
	for len(m.seconds) <= second {
		m.seconds = append(m.seconds, Sample{})
	}
	m.total.Add(s)
	m.seconds[max(second, 0)].Add(s)
}

// Record begins to count anew. Nothing is counted before its first call.
func (n *Network) StartRecording() { n.recordingStart.Store(time.Now().UnixNano()) }

// Recorded is what each address has sent and received since Record, in the order of addresses.
func (n *Network) Records() (all []Record) {
	recordingStart := n.recordingStart.Load()
	fullSeconds := int((time.Now().UnixNano() - recordingStart) / int64(time.Second))
	n.mu.RLock()
	defer n.mu.RUnlock()
	for address, m := range n.meters {
		m.mu.Lock()
		r := Record{Address: address, Seconds: make([]Sample, fullSeconds)}
		if m.recordingStart == recordingStart {
			r.Total = m.total
			copy(r.Seconds, m.seconds)
		}
		m.mu.Unlock()
		all = append(all, r)
	}
	slices.SortFunc(all, func(a, b Record) int {
		if a.Address < b.Address {
			return -1
		}
		return 1
	})
	return all
}
