package gossip

import (
	"bytes"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"capersail/internal/fleet/cells"
	"capersail/internal/fleet/membership"
	"capersail/internal/fleet/probing"
)

// The files under testdata/stored and testdata/wire were written by the version of 2026-12-03, before its
// names and types were changed. They must never be regenerated: a difference would show that an upgrade loses
// data.

func agreedView() *membership.View {
	return &membership.View{
		Epoch:           7,
		BootstrapSize:   5,
		UnreleasedSlots: []int{3, 4},
		Voters:          []string{"r1", "r2"},
		Entries: []membership.ViewEntry{
			{
				Name:             "r1",
				IsMember:         true,
				BudgetShare:      membership.FullBudget / 5,
				OutstandingLimit: membership.FullBudget / 6,
			},
			{Name: "r2", IsMember: true, Draining: true},
			{Name: "r3", OutstandingLimit: membership.FullBudget / 8},
		},
	}
}

func proposedView() *membership.View {
	return &membership.View{Epoch: 8, BootstrapSize: 5, Voters: []string{"r1"},
		Entries: []membership.ViewEntry{
			{
				Name:        "r1",
				IsMember:    true,
				BudgetShare: membership.FullBudget / 5,
			}, {Name: "r2", OutstandingLimit: membership.FullBudget / 9}}}
}

// cellView returns a view of a cell, with an Allocation in which every field is set.
func cellView() *membership.View {
	v := proposedView()
	v.Epoch = 41
	v.Allocation = &membership.Allocation{
		Plan:         3,
		PlanHash:     0xfedcba9876543210,
		Activated:    true,
		NearBudget:   membership.FullBudget / 2,
		FarBudget:    membership.FullBudget / 16,
		NearZones:    []string{"east-1", "east-2"},
		Cells:        []string{"east", "west"},
		LeaseMillis:  8000,
		Bootstrapped: true,
	}
	return v
}

// joinedPlanView returns the view of a flat fleet that has joined its first plan. The optional fields of its
// Allocation are not set.
func joinedPlanView() *membership.View {
	v := proposedView()
	v.Allocation = &membership.Allocation{Plan: 2, PlanHash: 5}
	return v
}

// A record that an older version has stored is decoded to the same values and encoded to the same bytes.
// Guards against a relay that loses its promises in an upgrade or a downgrade.
func TestRecordsOfTheOlderProgramAreReadAndKept(t *testing.T) {
	for name, c := range map[string]struct {
		cell string
		want membership.Record
	}{
		"flat-first-start": {"", membership.Record{Incarnation: 1}},
		"flat-handed-over": {
			"",
			membership.Record{
				Incarnation:    3,
				SlotReleased:   true,
				PromisedBallot: membership.Ballot{Round: 4, Name: "r2"},
			},
		},
		"flat-agreed": {"", membership.Record{
			Incarnation:    1 << 40,
			SlotReleased:   true,
			PromisedBallot: membership.Ballot{Round: 9, Name: "r2"},
			AcceptedBallot: membership.Ballot{Round: 9, Name: "r1"},
			AcceptedView:   proposedView(),
			View:           agreedView(),
		}},
		"flat-entering": {"", membership.Record{
			Incarnation:    8,
			SlotReleased:   true,
			PromisedBallot: membership.Ballot{Round: 2, Name: "r1"},
			AcceptedBallot: membership.Ballot{Round: 2, Name: "r1"},
			AcceptedView:   joinedPlanView(),
			View:           agreedView(),
		}},
		"cell-first-start": {"east", membership.Record{Incarnation: 1}},
		"cell-agreed":      {"east", membership.Record{Incarnation: 5, SlotReleased: true, View: cellView()}},
		"cell-proposed": {"east", membership.Record{
			Incarnation:    6,
			SlotReleased:   true,
			PromisedBallot: membership.Ballot{Round: 12, Name: "r1"},
			AcceptedBallot: membership.Ballot{Round: 11, Name: "r2"},
			AcceptedView:   cellView(),
			View:           joinedPlanView(),
		}},
	} {
		t.Run(name, func(t *testing.T) {
			file := filepath.Join("testdata", "stored", name+".cbor")
			stored, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			path := filepath.Join(t.TempDir(), "state")
			if err := os.WriteFile(path, stored, 0o600); err != nil {
				t.Fatal(err)
			}
			opened, got, err := openRecordFile(path, "casa", c.cell, "r1")
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(opened.close)
			if !reflect.DeepEqual(got, c.want) {
				t.Errorf("record decoded as %+v, want %+v", got, c.want)
			}
			if err := opened.save(got); err != nil {
				t.Fatal(err)
			}
			if again, err := os.ReadFile(path); err != nil || !bytes.Equal(again, stored) {
				t.Errorf("record saved as %x (read error %v), want %x", again, err, stored)
			}
		})
	}
}

// fullStatus returns a status with every optional field set.
func fullStatus() membership.Status {
	return membership.Status{
		Version:                2,
		Incarnation:            4,
		Lifecycle:              membership.LifecycleDraining,
		Zone:                   "east-1",
		RequestRate:            12.25,
		OpenConnections:        3,
		EndpointListGeneration: 1 << 50,
		Epoch:                  7,
		ViewHash:               0xfedcba9876543210,
		BootstrapSize:          5,
		BootstrapSlot:          2,
		SlotReleased:           true,
		Seq:                    9,
		DrainRate:              0.5,
		ActivatedPlan:          2,
	}
}

func fullSummary() cells.Summary {
	return cells.Summary{
		Cell: "east", Region: "e", Representative: "r1", Incarnation: 4, Seq: 9, Epoch: 41,
		Plan: 3, PlanHash: 0xfedcba9876543210, JoinedPlan: 2,
		Members: 12, ServingMembers: 11, RequestRate: 1234.5, OpenConnections: 77, DrainRate: 1.5,
		Contacts: []string{"10.0.0.1:7946", "10.0.0.2:7946"}, DepartedRelays: []string{"r9"},
		Forwarded: true, Bootstrapped: true,
	}
}

func fullDirectory() cells.Directory {
	return cells.Directory{Cell: "east", Representative: "r1", Incarnation: 4, Seq: 2, Epoch: 41,
		ActivatedPlan: 3, Regions: []cells.RegionTotals{
			{
				Cells:           1,
				KnownCells:      1,
				Relays:          4,
				ServingRelays:   4,
				RequestRate:     2,
				OpenConnections: 1,
				DrainRate:       0.25,
			}, {Name: "w", Cells: 2}}}
}

func sampleReadings() []probing.Reading {
	return []probing.Reading{
		{
			ServerKey:   0xfedcba9876543210,
			Started:     1_700_000_000_123,
			Origin:      "r1",
			Incarnation: 4,
			ReadAt:      1234 * time.Millisecond,
			Age:         56 * time.Millisecond,
			LoadReport: probing.LoadReport{Load: 0.5, InFlight: 3, ErrorsPerSecond: 0.125,
				CPUUtilization: 0.25},
		},
		{
			ServerKey:   2,
			Origin:      "r2",
			Incarnation: 1,
			ReadAt:      99 * time.Second,
			LoadReport:  probing.LoadReport{Load: 1.5, InFlight: -1, ErrorsPerSecond: -1, CPUUtilization: -1},
		},
		{
			ServerKey:   3,
			Origin:      "r1",
			Incarnation: 4,
			ReadAt:      time.Millisecond,
			Age:         1999 * time.Millisecond,
			LoadReport:  probing.LoadReport{Load: -1, InFlight: 0, ErrorsPerSecond: 0, CPUUtilization: 2},
		},
	}
}

func samplePlacements() []probing.PlacementDelta {
	return []probing.PlacementDelta{{
		ServerKey:   0xfedcba9876543210,
		Origin:      "r1",
		Incarnation: 4,
		Seq:         10,
		Delta:       3,
		Age:         150 * time.Millisecond,
	},
		{ServerKey: 2, Origin: "r2", Incarnation: 1, Seq: 11, Delta: -2}}
}

// decodeBody decodes a body to a value of type T, as receive.go and cell_messages.go do.
func decodeBody[T any](t *testing.T, body []byte) any {
	t.Helper()
	var value T
	if err := cbor.Unmarshal(body, &value); err != nil {
		t.Fatal(err)
	}
	return value
}

// A packet that an older version has sent is decoded to the same values, and those are encoded to the same
// bytes. Both versions run in one fleet during an upgrade.
func TestPacketsOfTheOlderProgramAreReadAndSent(t *testing.T) {
	message := decodeBody[membership.Message]
	status := decodeBody[membership.Status]
	summary := decodeBody[cells.Summary]
	directory := decodeBody[cells.Directory]
	readings := func(t *testing.T, body []byte) any {
		t.Helper()
		got, err := decodeReadings(body)
		if err != nil {
			t.Fatal(err)
		}
		return got
	}
	placements := func(t *testing.T, body []byte) any {
		t.Helper()
		got, err := decodePlacements(body)
		if err != nil {
			t.Fatal(err)
		}
		return got
	}
	ballot := membership.Ballot{Round: 9, Name: "r1"}
	for name, c := range map[string]struct {
		kind   envelopeKind
		want   any
		body   any // the value that is encoded, if it is not want
		decode func(t *testing.T, body []byte) any
	}{
		"status-full": {kind: kindStatus, want: fullStatus(), decode: status},
		"status-short": {
			kind:   kindStatus,
			want:   membership.Status{Version: 1, Incarnation: 1, BootstrapSize: 3, BootstrapSlot: -1},
			decode: status,
		},
		"renew": {
			kind: kindMessage,
			want: membership.Message{
				Kind:            membership.RenewLease,
				Epoch:           7,
				SentAtMillis:    1234.5,
				FromIncarnation: 3,
				BootstrapSlot:   1,
			},
			decode: message,
		},
		"renew-in-a-cell": {
			kind: kindMessage,
			want: membership.Message{
				Kind:            membership.RenewLease,
				Epoch:           7,
				SentAtMillis:    0.1,
				FromIncarnation: 3,
				BootstrapSlot:   -1,
				Plan:            3,
			},
			decode: message,
		},
		"renewed": {
			kind: kindMessage,
			want: membership.Message{
				Kind:            membership.LeaseRenewed,
				Epoch:           7,
				SentAtMillis:    98765.43210123,
				ToIncarnation:   4,
				FromIncarnation: 3,
			},
			decode: message,
		},
		"prepare": {
			kind: kindMessage,
			want: membership.Message{Kind: membership.Prepare, Epoch: 7, Ballot: ballot,
				FromIncarnation: 3},
			decode: message,
		},
		"promise": {
			kind: kindMessage,
			want: membership.Message{
				Kind:            membership.Promise,
				Epoch:           7,
				Ballot:          ballot,
				AcceptedBallot:  membership.Ballot{Round: 8, Name: "r2"},
				View:            proposedView(),
				Unavailable:     []string{"r3"},
				ToIncarnation:   4,
				FromIncarnation: 3,
			},
			decode: message,
		},
		"accept": {
			kind: kindMessage,
			want: membership.Message{
				Kind:            membership.Accept,
				Epoch:           7,
				Ballot:          ballot,
				View:            joinedPlanView(),
				FromIncarnation: 3,
			},
			decode: message,
		},
		"accepted": {
			kind: kindMessage,
			want: membership.Message{Kind: membership.Accepted, Epoch: 7, Ballot: ballot,
				ToIncarnation: 4, FromIncarnation: 3},
			decode: message,
		},
		"learn": {
			kind:   kindMessage,
			want:   membership.Message{Kind: membership.Learn, View: agreedView(), FromIncarnation: 3},
			decode: message,
		},
		"learn-in-a-cell": {
			kind:   kindMessage,
			want:   membership.Message{Kind: membership.Learn, View: cellView(), FromIncarnation: 3},
			decode: message,
		},
		"reject": {
			kind: kindMessage,
			want: membership.Message{Kind: membership.Reject, Epoch: 7, Ballot: ballot,
				ToIncarnation: 4, FromIncarnation: 3},
			decode: message,
		},
		"readings": {
			kind:   kindReadings,
			want:   sampleReadings(),
			body:   encodeReadings(sampleReadings()),
			decode: readings,
		},
		"placements": {
			kind:   kindPlacements,
			want:   samplePlacements(),
			body:   encodePlacements(samplePlacements()),
			decode: placements,
		},
		"summary-full": {kind: kindSummary, want: fullSummary(), decode: summary},
		"summary-short": {
			kind:   kindSummary,
			want:   cells.Summary{Cell: "east", Representative: "r1", Incarnation: 4, Seq: 1},
			decode: summary,
		},
		"directory-full": {kind: kindDirectory, want: fullDirectory(), decode: directory},
		"directory-short": {
			kind:   kindDirectory,
			want:   cells.Directory{Cell: "east", Representative: "r1", Incarnation: 4, Seq: 1},
			decode: directory,
		},
		"status-of-a-cell": {kind: kindCellScoped, want: fullStatus(), decode: status},
	} {
		t.Run(name, func(t *testing.T) {
			n := &Node{cfg: Config{Name: "r1"}}
			if c.body == nil {
				c.body = c.want
			}
			inner := c.kind
			if inner == kindCellScoped {
				n.cellHash, inner = hashCellName("east"), kindStatus
			}
			sent, err := n.encodeForCell(4, 9, inner, c.body)
			if err != nil {
				t.Fatal(err)
			}
			data, err := os.ReadFile(filepath.Join("testdata", "wire", name+".cbor"))
			if err != nil {
				t.Fatal(err)
			}
			if !bytes.Equal(sent, data) {
				t.Errorf("envelope encoded as %x, want %x", sent, data)
			}
			e, err := decodeEnvelope(data)
			if err != nil || e.Kind != c.kind || e.From != "r1" || e.Incarnation != 4 || e.Seq != 9 {
				t.Fatalf("envelope decoded as %+v, error %v; want kind as sent, from r1, incarnation 4, seq 9",
					e, err)
			}
			if c.kind == kindCellScoped {
				if e, err = n.unwrapCellEnvelope(e); err != nil || e.Kind != kindStatus {
					t.Fatalf("cell-scoped envelope unwrapped as %+v, error %v; want a status", e, err)
				}
			}
			if got := c.decode(t, e.Body); !reflect.DeepEqual(got, c.want) {
				t.Errorf("body decoded as %+v, want %+v", got, c.want)
			}
		})
	}
}
