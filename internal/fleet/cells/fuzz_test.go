package cells

import (
	"fmt"
	"testing"
	"time"

	"capersail/internal/fleet/cellplan"
)

// FuzzCoordinator sends a Coordinator events made from the input, valid and invalid, at times that may also
// go back. The Coordinator must not panic, keeps no more cells than the current plans name, sends at most one
// summary at a time, and its activated plan never decreases.
func FuzzCoordinator(f *testing.F) {
	f.Add([]byte{})
	f.Add([]byte("\x00\x01\x02\x03\x10\x20\x30\x40\x04\x04\x04\x04\x01\x01\x01\x01\x02\x07\xff\x00"))
	f.Add([]byte("\x00\xff\xff\xff\x01\xff\xff\xff\x02\xff\xff\xff\x03\xff\xff\xff\x04\xff\xff\xff"))
	long := make([]byte, 4000)
	for i := range long {
		long[i] = byte(i * i >> 3)
	}
	f.Add(long)
	f.Fuzz(func(t *testing.T, text []byte) {
		plan := regionalPlan(3, 2)
		c := New(0, Config{Name: "relay-0", Cell: "cell-0", Incarnation: 1, Plan: plan})
		now, activated := time.Duration(0), uint64(0)
		for ; len(text) >= 4; text = text[4:] {
			now += (time.Duration(text[3]) - 40) * 100 * time.Millisecond
			sent := 0
			for _, a := range c.Handle(now, eventFromBytes(text), nil) {
				if send, is := a.(SendSummary); is {
					sent++
					if send.Summary.Check() != nil || send.Address == "" {
						t.Fatalf("sent an invalid summary or one without an address: %+v", send)
					}
				}
				if publish, is := a.(PublishDirectory); is && publish.Directory.Check() != nil {
					t.Fatalf("published an invalid directory: %+v", publish.Directory)
				}
			}
			c.Report(now)
			c.OtherCellTotals(now)
			if sent > 1 || len(c.remotes) > 16+16 || len(c.cellNames) != len(c.remotes) ||
				c.ActivatedPlan() < activated {
				t.Fatal("summaries, other cells, their names, activated plan, previous one:", sent,
					len(c.remotes), len(c.cellNames), c.ActivatedPlan(), activated)
			}
			activated = c.ActivatedPlan()
			for _, r := range c.remotes {
				if len(r.seenMarks) > maxRepresentatives || len(r.planJoins) > maxPlanJoins {
					t.Fatal("a cell's representatives or plan joins exceed their maximum")
				}
			}
		}
	})
}

// eventFromBytes makes an event from four bytes.
func eventFromBytes(text []byte) Event {
	kind, a, b := text[0], int(text[1]), int(text[2])
	summary := Summary{Cell: fmt.Sprintf("cell-%d", a%20), Representative: fmt.Sprintf("relay-%d", b%9),
		Incarnation: uint64(1 + b%2), Seq: uint64(1 + b), Epoch: uint64(a % 3),
		Plan: uint64(b % 6), PlanHash: uint64(a % 3), JoinedPlan: uint64(b % 5), Members: a,
		ServingMembers: b, Contacts: []string{fmt.Sprintf("10.0.0.%d:1", a)}, Forwarded: a > 200}
	switch kind % 6 {
	case 0:
		l := LocalCell{Members: a, ServingMembers: b, Epoch: uint64(a % 3), Plan: uint64(b % 6),
			PlanHash: uint64(a % 3), JoinedPlan: uint64(b % 6), RequestRate: float64(a)}
		for i := range a % 4 {
			l.Voters = append(l.Voters, Voter{Name: fmt.Sprintf("relay-%d", i),
				Address: fmt.Sprintf("10.0.0.%d:2", i+1), Alive: b>>i&1 == 1})
		}
		for i := range b % 17 {
			l.RequiredCells = append(l.RequiredCells, fmt.Sprintf("cell-%d", i))
		}
		return l
	case 1, 2:
		return SummaryReceived{From: summary.Representative, Summary: summary}
	case 3:
		return DirectoryReceived{From: summary.Representative,
			Directory: Directory{Cell: "cell-0", Representative: summary.Representative,
				Incarnation: summary.Incarnation, Seq: summary.Seq,
				Epoch: summary.Epoch, ActivatedPlan: uint64(b % 4),
				Regions: []RegionTotals{{Name: "region-0", Cells: a, KnownCells: b, Relays: a,
					ServingRelays: b}}}}
	case 4:
		return PlanChanged{regionalPlan(1+a%16, uint64(1+b%6))}
	}
	return Tick{}
}

// regionalPlan returns a plan with cells in three regions.
func regionalPlan(cells int, number uint64) cellplan.Plan {
	plan := cellplan.Plan{Number: number}
	for i := range cells {
		region := fmt.Sprintf("region-%d", i%3)
		plan.Cells = append(plan.Cells, cellplan.Cell{Name: fmt.Sprintf("cell-%d", i), Region: region,
			Zone: region, Relays: 1 + i, Contacts: []string{fmt.Sprintf("10.0.1.%d:1", i+1)}})
	}
	return plan
}
