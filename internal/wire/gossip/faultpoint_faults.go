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
	for _, after := range faultpoint.DrawPacketDelays(to.Addr) {
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
	if !faultpoint.CanConnect(to.Addr) {
		time.Sleep(min(within, 300*time.Millisecond))
		return nil, errors.New("i/o timeout")
	}
	return f.countingTransport.DialAddressTimeout(to, within)
}

// lastRecorded is what the last line of the history said.
var lastRecorded faultpoint.HistoryLine

// recordHistory takes down what the relay takes the fleet for, as it changes.
func (n *Node) recordHistory() {
	if !faultpoint.Recording() {
		return
	}
	line := n.historyLine()
	sameUntil := math.Abs(line.UntilMillis-lastRecorded.UntilMillis) < 1
	if sameFacts(line, lastRecorded) && sameUntil && line.AtMillis < lastRecorded.AtMillis+1000 {
		return
	}
	lastRecorded = line
	faultpoint.Record(line)
}

// historyLine is what the relay takes the fleet for now.
func (n *Node) historyLine() faultpoint.HistoryLine {
	n.mu.Lock()
	defer n.mu.Unlock()
	if faultpoint.CurrentRules().NoJointViews {
		n.membership.DisableJointViews()
	}
	now, view := n.now(), n.membership.View()
	estimate := n.membership.Estimate(now)
	line := faultpoint.HistoryLine{
		AtMillis:    faultpoint.NowMillis(),
		Name:        n.cfg.Name,
		Incarnation: n.membership.Incarnation(),
		Epoch:       estimate.Epoch,
		ViewHash:    n.membership.ViewHash(),
		Phase:       estimate.Phase.String(),
		Settled:     view.Settled(),
		Share:       estimate.BudgetShare,
		Relays:      estimate.Relays,
	}
	if estimate.ShareValidUntil != duration.DistantFuture {
		left := duration.Millis(estimate.ShareValidUntil - now)
		line.UntilMillis = line.AtMillis + left/faultpoint.ClockRate()
	}
	n.noteCells(&line, estimate, view)
	if line.Epoch != lastRecorded.Epoch || line.ViewHash != lastRecorded.ViewHash {
		line.Members = view.MemberNames()
	} else {
		line.Members = lastRecorded.Members
	}
	return line
}

// sameFacts tells whether two lines say the same, but for times.
func sameFacts(a, b faultpoint.HistoryLine) bool {
	sameView := a.Epoch == b.Epoch && a.ViewHash == b.ViewHash && a.Phase == b.Phase
	sameShare := a.Share == b.Share && a.FarShare == b.FarShare && a.Relays == b.Relays
	samePlan := a.Plan == b.Plan && a.PlanActivated == b.PlanActivated
	sameCells := a.Representative == b.Representative && a.KnownCells == b.KnownCells
	return sameView && sameShare && slices.Equal(a.Zones, b.Zones) && samePlan && sameCells
}

// noteCells takes down what the relay knows of its cell and of the others. The caller holds the lock.
func (n *Node) noteCells(
	line *faultpoint.HistoryLine,
	estimate membership.FleetEstimate,
	view *membership.View,
) {
	line.FarShare, line.Zones = estimate.FarBudgetShare, estimate.NearZones
	line.Plan, line.PlanActivated = estimate.Plan, estimate.PlanActivated
	if view.Allocation == nil {
		line.FarShare, line.Zones = estimate.BudgetShare, nil
	}
	link := n.cells.Load()
	if link == nil {
		return
	}
	line.Cell, line.Representative = link.cell, link.representative
	for _, region := range link.coordinator.Report(n.cellTime(n.now())).Regions {
		line.KnownCells += region.KnownCells
	}
}

// adjustTiming makes the leases of a cell as short as the rules say.
func (n *Node) adjustTiming(p membership.Timing) membership.Timing {
	if ms := faultpoint.CurrentRules().LeaseMs; ms > 0 && p != (membership.Timing{}) {
		p.StatusInterval = duration.Scale(p.StatusInterval, ms/duration.Millis(p.LeaseDuration))
		p.LeaseDuration = duration.FromMillis(ms)
	}
	return p
}

// cellClockRate is how much faster the clock between cells runs than the relay's.
func cellClockRate() float64 { return max(faultpoint.CurrentRules().CellRate, 1) }

func (n *Node) cellTime(now time.Duration) time.Duration { return duration.Scale(now, cellClockRate()) }
func (n *Node) nodeTime(at time.Duration) time.Duration  { return duration.Scale(at, 1/cellClockRate()) }

// falsifyReadings makes the readings that this relay made itself into what the rules say.
func (n *Node) falsifyReadings(readings []probing.Reading) []probing.Reading {
	r := faultpoint.CurrentRules()
	if !r.FalseReports {
		return readings
	}
	readings = slices.Clone(readings)
	for i := range readings {
		if readings[i].Origin == n.cfg.Name {
			readings[i].LoadReport = probing.LoadReport{Load: r.FalseLoad, InFlight: -1, ErrorsPerSecond: -1,
				CPUUtilization: -1}
		}
	}
	return readings
}

// adjustStatus makes a status one of an earlier version, which lacks what is not needed, or of a later one,
// which has more.
func (n *Node) adjustStatus(d membership.Status) any {
	version := faultpoint.CurrentRules().StatusVersion
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
	fields[1] = membership.StatusVersion + 1
	fields[60] = "of a later version"
	fields[61] = map[string]int{"more": 1}
	return fields
}
