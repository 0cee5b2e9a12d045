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

// injectFaults adds network faults between this relay and the others, as the fault rules say.
func (n *Node) injectFaults(t *countingTransport) memberlist.NodeAwareTransport {
	return &faultyTransport{t}
}

type faultyTransport struct{ *countingTransport }

// WriteTo implements memberlist.Transport.
func (f *faultyTransport) WriteTo(b []byte, to string) (time.Time, error) {
	return f.WriteToAddress(b, memberlist.Address{Addr: to})
}

// WriteToAddress implements memberlist.NodeAwareTransport. It drops, delays or duplicates the packet.
func (f *faultyTransport) WriteToAddress(b []byte, to memberlist.Address) (time.Time, error) {
	data := append([]byte(nil), b...)
	for _, after := range faultpoint.DrawPacketDelays(to.Addr) {
		if after <= 0 {
			f.countingTransport.WriteToAddress(data, to)
			continue
		}
		time.AfterFunc(after, func() { f.countingTransport.WriteToAddress(data, to) })
	}
	return time.Now(), nil
}

// DialTimeout implements memberlist.Transport.
func (f *faultyTransport) DialTimeout(to string, within time.Duration) (net.Conn, error) {
	return f.DialAddressTimeout(memberlist.Address{Addr: to}, within)
}

// DialAddressTimeout implements memberlist.NodeAwareTransport. It times out for an address that the fault
// rules cut off.
func (f *faultyTransport) DialAddressTimeout(to memberlist.Address, within time.Duration) (net.Conn, error) {
	if !faultpoint.CanConnect(to.Addr) {
		time.Sleep(min(within, 300*time.Millisecond))
		return nil, errors.New("injected fault: i/o timeout")
	}
	return f.countingTransport.DialAddressTimeout(to, within)
}

// lastHistoryLine is the last line that recordHistory recorded.
var lastHistoryLine faultpoint.HistoryLine

// recordHistory records the relay's estimate of the fleet if it has changed, or if the last line is more than
// 1 s old.
func (n *Node) recordHistory() {
	if !faultpoint.HistoryEnabled() {
		return
	}
	line := n.historyLine()
	sameUntil := math.Abs(line.UntilMillis-lastHistoryLine.UntilMillis) < 1
	if equalExceptTimes(line, lastHistoryLine) && sameUntil && line.AtMillis < lastHistoryLine.AtMillis+1000 {
		return
	}
	lastHistoryLine = line
	faultpoint.AppendHistory(line)
}

// historyLine returns the relay's current estimate of the fleet.
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
		NearShare:   estimate.BudgetShare,
		Relays:      estimate.Relays,
	}
	if estimate.ShareValidUntil != duration.DistantFuture {
		left := duration.Millis(estimate.ShareValidUntil - now)
		line.UntilMillis = line.AtMillis + left/faultpoint.ClockRate()
	}
	n.addCellFields(&line, estimate, view)
	if line.Epoch != lastHistoryLine.Epoch || line.ViewHash != lastHistoryLine.ViewHash {
		line.Members = view.MemberNames()
	} else {
		line.Members = lastHistoryLine.Members
	}
	return line
}

// equalExceptTimes reports whether two lines differ in nothing but times.
func equalExceptTimes(a, b faultpoint.HistoryLine) bool {
	sameView := a.Epoch == b.Epoch && a.ViewHash == b.ViewHash && a.Phase == b.Phase
	sameShare := a.NearShare == b.NearShare && a.FarShare == b.FarShare && a.Relays == b.Relays
	samePlan := a.Plan == b.Plan && a.PlanActivated == b.PlanActivated
	sameCells := a.Representative == b.Representative && a.KnownCells == b.KnownCells
	return sameView && sameShare && slices.Equal(a.Zones, b.Zones) && samePlan && sameCells
}

// addCellFields adds to a line what the relay knows of its own cell and of the others. The caller holds the
// lock.
func (n *Node) addCellFields(
	line *faultpoint.HistoryLine,
	estimate membership.FleetEstimate,
	view *membership.View,
) {
	line.FarShare, line.Zones = estimate.FarBudgetShare, estimate.NearZones
	line.Plan, line.PlanActivated = estimate.Plan, estimate.PlanActivated
	if view.Allocation == nil {
		line.FarShare, line.Zones = estimate.BudgetShare, nil
	}
	driver := n.cells.Load()
	if driver == nil {
		return
	}
	line.Cell, line.Representative = driver.cell, driver.representative
	for _, region := range driver.coordinator.Report(n.cellTime(n.now())).Regions {
		line.KnownCells += region.KnownCells
	}
}

// adjustTiming shortens the leases of a cell to the duration in the fault rules, and the interval of statuses
// in proportion.
func (n *Node) adjustTiming(p membership.Timing) membership.Timing {
	if ms := faultpoint.CurrentRules().LeaseMs; ms > 0 && p != (membership.Timing{}) {
		p.StatusInterval = duration.Scale(p.StatusInterval, ms/duration.Millis(p.LeaseDuration))
		p.LeaseDuration = duration.FromMillis(ms)
	}
	return p
}

// cellClockRate returns how many times as fast as the relay's clock the Coordinator's clock runs.
func cellClockRate() float64 { return max(faultpoint.CurrentRules().CellRate, 1) }

func (n *Node) cellTime(now time.Duration) time.Duration { return duration.Scale(now, cellClockRate()) }
func (n *Node) nodeTime(at time.Duration) time.Duration  { return duration.Scale(at, 1/cellClockRate()) }

// falsifyReadings replaces this relay's own readings by the false load in the fault rules, if they ask for
// that.
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

// adjustStatus converts a status, as the fault rules say, to that of an earlier version without the optional
// fields, or to that of a later version with additional fields.
func (n *Node) adjustStatus(d membership.Status) any {
	version := faultpoint.CurrentRules().StatusVersion
	if version == 0 {
		return d
	}
	data, err := cbor.Marshal(d)
	fields := map[int]any{}
	if err != nil || cbor.Unmarshal(data, &fields) != nil {
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
