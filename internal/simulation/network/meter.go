package network

import (
	"slices"
	"sync"
	"time"
)

// Bytes of headers on an IPv4 network, so that a relay's traffic can be compared with budgets for the wire.
// PacketHeader is IP and UDP of a packet. ConnectionHeader is the set-up, end and acknowledgements of a
// connection, at each of its two ends.
const (
	PacketHeader     = 28
	ConnectionHeader = 320
)

// Sample counts what an endpoint sent and received in some time.
type Sample struct {
	PacketsOut, PacketsIn int
	BytesOut, BytesIn     int // payload of packets
	Connections           int // opened by the endpoint
	StreamOut, StreamIn   int // payload bytes of streams
}

// Out returns all bytes of payload that were sent.
func (s Sample) Out() int { return s.BytesOut + s.StreamOut }

// In returns all bytes of payload that were received.
func (s Sample) In() int { return s.BytesIn + s.StreamIn }

// WireOut returns the bytes sent, headers included.
func (s Sample) WireOut() int {
	return s.Out() + s.PacketsOut*PacketHeader + s.Connections*ConnectionHeader
}

// WireIn returns the bytes received, headers included.
func (s Sample) WireIn() int {
	return s.In() + s.PacketsIn*PacketHeader + s.Connections*ConnectionHeader
}

// Add adds the counts of another Sample.
func (s *Sample) Add(o Sample) {
	s.PacketsOut += o.PacketsOut
	s.PacketsIn += o.PacketsIn
	s.BytesOut += o.BytesOut
	s.BytesIn += o.BytesIn
	s.Connections += o.Connections
	s.StreamOut += o.StreamOut
	s.StreamIn += o.StreamIn
}

// Record is the traffic of one endpoint since Network.StartRecording.
type Record struct {
	Address string
	Total   Sample
	Seconds []Sample // completed seconds only
}

// Percentile returns the value that the given fraction of all completed seconds do not exceed, by a measure
// of a Sample.
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

// meter counts the traffic of one address.
type meter struct {
	network *Network

	mu             sync.Mutex
	recordingStart int64 // start of the recording that total and seconds belong to
	total          Sample
	seconds        []Sample
}

// countPacket counts a packet that is sent or received.
func (m *meter) countPacket(now time.Time, out, in int) {
	s := Sample{BytesOut: out, BytesIn: in}
	if out > 0 {
		s.PacketsOut = 1
	} else {
		s.PacketsIn = 1
	}
	m.add(now, s)
}

// countStream counts bytes of a stream.
func (m *meter) countStream(now time.Time, out, in int) {
	m.add(now, Sample{StreamOut: out, StreamIn: in})
}

func (m *meter) countConnection(now time.Time) { m.add(now, Sample{Connections: 1}) }

// add adds a sample to the current recording, if there is one.
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

// StartRecording starts a new recording. Nothing is counted before its first call.
func (n *Network) StartRecording() { n.recordingStart.Store(time.Now().UnixNano()) }

// Records returns the traffic of each address since StartRecording, sorted by address.
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
