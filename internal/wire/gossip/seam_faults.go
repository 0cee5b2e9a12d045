//go:build faults

package gossip

import (
	"errors"
	"math"
	"net"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/memberlist"

	"capersail/internal/fleet/membership"
	"capersail/internal/fleet/probing"
	"capersail/internal/testing/faultpoint"
)

// seam puts faults between this relay and the others.
func (n *Node) seam(t *counted) memberlist.NodeAwareTransport { return &faulty{t} }

type faulty struct{ *counted }

// WriteTo is memberlist's.
func (f *faulty) WriteTo(b []byte, to string) (time.Time, error) {
	return f.WriteToAddress(b, memberlist.Address{Addr: to})
}

// WriteToAddress is memberlist's.
func (f *faulty) WriteToAddress(b []byte, to memberlist.Address) (time.Time, error) {
	text := append([]byte(nil), b...)
	for _, after := range faultpoint.Packet(to.Addr) {
		if after <= 0 {
			f.counted.WriteToAddress(text, to)
			continue
		}
		time.AfterFunc(after, func() { f.counted.WriteToAddress(text, to) })
	}
	return time.Now(), nil
}

// DialTimeout is memberlist's.
func (f *faulty) DialTimeout(to string, within time.Duration) (net.Conn, error) {
	return f.DialAddressTimeout(memberlist.Address{Addr: to}, within)
}

// DialAddressTimeout is memberlist's.
func (f *faulty) DialAddressTimeout(to memberlist.Address, within time.Duration) (net.Conn, error) {
	if !faultpoint.Reaches(to.Addr) {
		time.Sleep(min(within, 300*time.Millisecond))
		return nil, errors.New("i/o timeout")
	}
	return f.counted.DialAddressTimeout(to, within)
}

// noted is what the last line of the history said.
var noted faultpoint.Noted

// history takes down what the relay reckons with, as it changes.
func (n *Node) history() {
	if !faultpoint.On() {
		return
	}
	n.mu.Lock()
	if faultpoint.Present().NoJoint {
		n.membership.DisableJointViews()
	}
	now, v := n.now(), n.membership.View()
	r := n.membership.Estimate(now)
	t := faultpoint.Now()
	line := faultpoint.Noted{Name: n.cfg.Name, Incarnation: n.membership.Incarnation(), Epoch: r.Epoch, Hash: n.membership.Hash(), Phase: r.Phase.String(),
		Settled: v.Settled(), Share: r.Share, Relays: r.Relays}
	if !math.IsInf(r.Until, 1) {
		line.Until = t + (r.Until-now)/faultpoint.Rate()
	}
	n.noteCells(&line, r, v)
	if line.Epoch != noted.Epoch || line.Hash != noted.Hash {
		line.Members = v.MemberNames()
	} else {
		line.Members = noted.Members
	}
	n.mu.Unlock()
	same := line.Epoch == noted.Epoch && line.Hash == noted.Hash && line.Phase == noted.Phase && line.Share == noted.Share && line.Relays == noted.Relays &&
		line.Far == noted.Far && slices.Equal(line.Zones, noted.Zones) && line.Plan == noted.Plan && line.Open == noted.Open && line.Speaker == noted.Speaker && line.CellsHeard == noted.CellsHeard
	if same && math.Abs(line.Until-noted.Until) < 1 && t < noted.T+1000 {
		return
	}
	line.T = t
	noted = line
	faultpoint.Note(line)
}

// noteCells takes down what the relay knows of its cell and of the others.
func (n *Node) noteCells(line *faultpoint.Noted, r membership.FleetEstimate, v *membership.View) {
	line.Far, line.Zones, line.Plan, line.Open = r.FarShare, r.NearZones, r.Plan, r.PlanOpen
	if v.Allocation == nil {
		line.Far, line.Zones = r.Share, nil
	}
	l := n.cells.Load()
	if l == nil {
		return
	}
	line.Cell, line.Speaker = l.cell, l.speaker
	for _, region := range l.coordinator.Report(n.cellTime(n.now())).Regions {
		line.CellsHeard += region.Heard
	}
}

// paced makes the leases of a cell as short as the rules say.
func (n *Node) paced(p membership.Pace) membership.Pace {
	if ms := faultpoint.Present().LeaseMs; ms > 0 && p != (membership.Pace{}) {
		p.StatusEvery *= ms / p.LeaseFor
		p.LeaseFor = ms
	}
	return p
}

// hurried is how much faster the clock between cells runs than the relay's.
func hurried() float64 { return max(faultpoint.Present().CellRate, 1) }

func (n *Node) cellTime(now float64) float64 { return now * hurried() }
func (n *Node) nodeTime(at float64) float64  { return at / hurried() }

// lie makes the readings that this relay made itself into what the rules say.
func (n *Node) lie(readings []probing.Reading) []probing.Reading {
	r := faultpoint.Present()
	if !r.Lies {
		return readings
	}
	readings = slices.Clone(readings)
	for i := range readings {
		if readings[i].By == n.cfg.Name {
			readings[i].Load = probing.Load{Load: r.Lie, Inflight: -1, Errors: -1, Busy: -1}
		}
	}
	return readings
}

// recode makes a status one of an earlier version, which lacks what is not needed, or of a later one, which has more.
func (n *Node) recode(d membership.Status) any {
	version := faultpoint.Present().Digest
	if version == 0 {
		return d
	}
	text, err := cbor.Marshal(d)
	fields := map[int]any{}
	if err != nil || cbor.Unmarshal(text, &fields) != nil {
		return d
	}
	if version < 0 {
		for _, key := range []int{4, 5, 6, 7, 9, 14} {
			delete(fields, key)
		}
		return fields
	}
	fields[1], fields[60], fields[61] = membership.StatusVersion+1, "of a later version", map[string]int{"more": 1}
	return fields
}
