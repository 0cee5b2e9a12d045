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

	"capersail/internal/fleet/duration"
	"capersail/internal/fleet/membership"
	"capersail/internal/fleet/probing"
	"capersail/internal/testing/faultpoint"
)

// injectFaults puts faults between this relay and the others.
func (n *Node) injectFaults(t *countingTransport) memberlist.NodeAwareTransport {
	return &faultyTransport{t}
}

type faultyTransport struct{ *countingTransport }

// WriteTo is memberlist's.
func (f *faultyTransport) WriteTo(b []byte, to string) (time.Time, error) {
	return f.WriteToAddress(b, memberlist.Address{Addr: to})
}

// WriteToAddress is memberlist's.
func (f *faultyTransport) WriteToAddress(b []byte, to memberlist.Address) (time.Time, error) {
	text := append([]byte(nil), b...)
	for _, after := range faultpoint.Packet(to.Addr) {
		if after <= 0 {
			f.countingTransport.WriteToAddress(text, to)
			continue
		}
		time.AfterFunc(after, func() { f.countingTransport.WriteToAddress(text, to) })
	}
	return time.Now(), nil
}

// DialTimeout is memberlist's.
func (f *faultyTransport) DialTimeout(to string, within time.Duration) (net.Conn, error) {
	return f.DialAddressTimeout(memberlist.Address{Addr: to}, within)
}

// DialAddressTimeout is memberlist's.
func (f *faultyTransport) DialAddressTimeout(to memberlist.Address, within time.Duration) (net.Conn, error) {
	if !faultpoint.Reaches(to.Addr) {
		time.Sleep(min(within, 300*time.Millisecond))
		return nil, errors.New("i/o timeout")
	}
	return f.countingTransport.DialAddressTimeout(to, within)
}

// lastRecorded is what the last line of the history said.
var lastRecorded faultpoint.Noted

// recordHistory takes down what the relay reckons with, as it changes.
func (n *Node) recordHistory() {
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
		Settled: v.Settled(), Share: r.BudgetShare, Relays: r.Relays}
	if r.ShareValidUntil != duration.Forever {
		line.Until = t + duration.Millis(r.ShareValidUntil-now)/faultpoint.Rate()
	}
	n.noteCells(&line, r, v)
	if line.Epoch != lastRecorded.Epoch || line.Hash != lastRecorded.Hash {
		line.Members = v.MemberNames()
	} else {
		line.Members = lastRecorded.Members
	}
	n.mu.Unlock()
	same := line.Epoch == lastRecorded.Epoch && line.Hash == lastRecorded.Hash && line.Phase == lastRecorded.Phase && line.Share == lastRecorded.Share && line.Relays == lastRecorded.Relays &&
		line.Far == lastRecorded.Far && slices.Equal(line.Zones, lastRecorded.Zones) && line.Plan == lastRecorded.Plan && line.Open == lastRecorded.Open && line.Speaker == lastRecorded.Speaker && line.CellsHeard == lastRecorded.CellsHeard
	if same && math.Abs(line.Until-lastRecorded.Until) < 1 && t < lastRecorded.T+1000 {
		return
	}
	line.T = t
	lastRecorded = line
	faultpoint.Note(line)
}

// noteCells takes down what the relay knows of its cell and of the others.
func (n *Node) noteCells(line *faultpoint.Noted, r membership.FleetEstimate, v *membership.View) {
	line.Far, line.Zones, line.Plan, line.Open = r.FarBudgetShare, r.NearZones, r.Plan, r.PlanActivated
	if v.Allocation == nil {
		line.Far, line.Zones = r.BudgetShare, nil
	}
	l := n.cells.Load()
	if l == nil {
		return
	}
	line.Cell, line.Speaker = l.cell, l.representative
	for _, region := range l.coordinator.Report(n.cellTime(n.now())).Regions {
		line.CellsHeard += region.Known
	}
}

// adjustTiming makes the leases of a cell as short as the rules say.
func (n *Node) adjustTiming(p membership.Timing) membership.Timing {
	if ms := faultpoint.Present().LeaseMs; ms > 0 && p != (membership.Timing{}) {
		p.StatusInterval = duration.Scale(p.StatusInterval, ms/duration.Millis(p.LeaseDuration))
		p.LeaseDuration = duration.FromMillis(ms)
	}
	return p
}

// cellClockRate is how much faster the clock between cells runs than the relay's.
func cellClockRate() float64 { return max(faultpoint.Present().CellRate, 1) }

func (n *Node) cellTime(now time.Duration) time.Duration { return duration.Scale(now, cellClockRate()) }
func (n *Node) nodeTime(at time.Duration) time.Duration  { return duration.Scale(at, 1/cellClockRate()) }

// falsifyReadings makes the readings that this relay made itself into what the rules say.
func (n *Node) falsifyReadings(readings []probing.Reading) []probing.Reading {
	r := faultpoint.Present()
	if !r.Lies {
		return readings
	}
	readings = slices.Clone(readings)
	for i := range readings {
		if readings[i].Origin == n.cfg.Name {
			readings[i].LoadReport = probing.LoadReport{Load: r.Lie, Inflight: -1, Errors: -1, Busy: -1}
		}
	}
	return readings
}

// adjustStatus makes a status one of an earlier version, which lacks what is not needed, or of a later one, which has more.
func (n *Node) adjustStatus(d membership.Status) any {
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
