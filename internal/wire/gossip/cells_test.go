package gossip

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/memberlist"

	"capersail/internal/fleet/cellplan"
	"capersail/internal/fleet/cells"
	"capersail/internal/fleet/membership"
	"capersail/internal/simulation/network"
)

// twoCells returns a plan of two cells of three relays each.
func twoCells() *cellplan.Plan {
	return &cellplan.Plan{Number: 1, Cells: []cellplan.Cell{
		{
			Name:     "east-1",
			Region:   "east",
			Zone:     "east-a",
			Relays:   3,
			Contacts: []string{relayAddr(0), relayAddr(1)},
		},
		{
			Name:     "west-1",
			Region:   "west",
			Zone:     "west-a",
			Relays:   3,
			Contacts: []string{relayAddr(3), relayAddr(4)},
		},
	}}
}

// newIdleNodeInCell returns a Node of a cell that does not run.
func newIdleNodeInCell(t *testing.T, cell string, plan *cellplan.Plan) *Node {
	t.Helper()
	c := testConfig("me", filepath.Join(t.TempDir(), "state"))
	c.Cell, c.Plan = cell, plan
	n, err := New(c)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(n.record.close)
	return n
}

// Two cells whose seeds include relays of both are not merged, and each receives the summaries of the other.
// Guards against a relay that is in the view or the report of another cell.
func TestCellsAreNotMerged(t *testing.T) {
	simnet := network.New(network.Config{})
	ctx, stop := context.WithCancel(context.Background())
	dir := t.TempDir()
	var all []*Node
	t.Cleanup(func() {
		stop()
		for _, node := range all {
			node.Wait()
		}
	})
	for i := range 6 {
		c := testConfig(fmt.Sprintf("r%d", i), filepath.Join(dir, fmt.Sprint(i)))
		c.Bind, c.Transport = relayAddr(i), simnet.Transport
		c.Seeds = []string{relayAddr(0), relayAddr(3), relayAddr(4)}
		c.BootstrapSlot, c.ConfiguredRelays, c.Seed = i%3, 6, uint64(i)
		c.Cell, c.Plan, c.Timing = twoCells().Cells[i/3].Name, twoCells(), membership.CellTiming
		node, err := New(c)
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, node)
		go node.Run(ctx)
	}
	heard := func(n *Node) (count int) {
		r, _ := n.CellsReport()
		for _, region := range r.Regions {
			count += region.KnownCells
		}
		return count
	}
	waitFor(t, time.Minute, "both cells agree on a view of 3 relays and know the other cell", func() bool {
		for _, n := range all {
			if viewSize(n) != 3 || n.FleetEstimate().Phase != membership.PhaseAgreed || heard(n) != 1 {
				return false
			}
		}
		return true
	})
	for i, n := range all {
		r := n.Report()
		if len(r.Members) != 3 {
			t.Errorf("r%d reports %d relays, want the 3 of its cell", i, len(r.Members))
		}
		for _, m := range r.Members {
			if strings.Compare(m.Name, "r3") < 0 != (i < 3) {
				t.Errorf("r%d reports %s, want no relay of the other cell", i, m.Name)
			}
		}
	}
}

// Relays drop envelopes of another cell, and a flat fleet and a cell drop each other's envelopes. Summaries
// are accepted from other cells by relays that have a plan. The envelopes and the metadata of a flat fleet
// have the same form as before the program supported cells.
func TestEnvelopesOfCells(t *testing.T) {
	flat := newIdleNodeInCell(t, "", nil)
	east, west := newIdleNodeInCell(t, "east-1", twoCells()), newIdleNodeInCell(t, "west-1", twoCells())
	east.startCells("east-1", *twoCells())
	encode := func(n *Node, k envelopeKind, body any) []byte {
		data, err := n.encodeForCell(4, 7, k, body)
		if err != nil {
			t.Fatal(err)
		}
		return bytes.Replace(data, []byte("me"), []byte("he"), 1)
	}
	status := sampleStatus()
	plain, err := encodeEnvelope("he", 4, 7, kindStatus, status)
	if err != nil || !bytes.Equal(plain, encode(flat, kindStatus, status)) {
		t.Errorf("envelope of a flat fleet: got %x, want %x; error %v",
			encode(flat, kindStatus, status), plain, err)
	}
	if flat.nodeMeta() != nil || string(east.nodeMeta()) != "east-1" {
		t.Errorf("metadata: got %q in a flat fleet and %q in a cell, want none and east-1",
			flat.nodeMeta(), east.nodeMeta())
	}
	summary := cells.Summary{
		Cell:           "west-1",
		Region:         "west",
		Representative: "he",
		Incarnation:    4,
		Seq:            1,
		Members:        3,
		ServingMembers: 3,
	}
	fromWest, err := encodeEnvelope("he", 4, 8, kindSummary, summary)
	if err != nil {
		t.Fatal(err)
	}
	misattributed := summary
	misattributed.Representative = "she" // not the sender
	wrong, err := encodeEnvelope("he", 4, 9, kindSummary, misattributed)
	if err != nil {
		t.Fatal(err)
	}
	for _, one := range []struct {
		what string
		to   *Node
		data []byte
		why  dropReason // dropReasonCount for an envelope that is accepted
	}{
		{"status of the own cell", east, encode(east, kindStatus, status), dropReasonCount},
		{"status of another cell", east, encode(west, kindStatus, status), dropForeign},
		{"status of a flat fleet", east, encode(flat, kindStatus, status), dropForeign},
		{"status of a cell, received in a flat fleet", flat, encode(west, kindStatus, status), dropForeign},
		{"a summary", east, fromWest, dropReasonCount},
		{"duplicate of the summary", east, fromWest, dropReplayed},
		{"summary that names a representative other than the sender", east, wrong, dropMalformed},
		{"summary received without a plan", flat, fromWest, dropUnknown},
		{"malformed cell-scoped body", east, mustEncode(t, "he", kindCellScoped, "nonsense"), dropMalformed},
		{
			"directory that is not cell-scoped", east,
			mustEncode(
				t, "he", kindDirectory,
				cells.Directory{Cell: "east-1", Representative: "he", Incarnation: 4, Seq: 1},
			),
			dropForeign,
		},
	} {
		before, count := one.to.dropped.total[one.why%dropReasonCount].Load(), uint64(0)
		for i := range one.to.dropped.total {
			count += one.to.dropped.total[i].Load()
		}
		one.to.receiveEnvelope(one.data, false)
		after := uint64(0)
		for i := range one.to.dropped.total {
			after += one.to.dropped.total[i].Load()
		}
		taken := after == count
		counted := taken || one.to.dropped.total[one.why].Load() == before+1
		if taken != (one.why == dropReasonCount) || !counted {
			t.Errorf(
				"%s: accepted is %v, total of drops for the wanted reason is %d (reason %s)",
				one.what, taken,
				one.to.dropped.total[one.why%dropReasonCount].Load(), append(dropReasonNames[:], "")[one.why],
			)
		}
	}
	select {
	case ev := <-east.cells.Load().inbox:
		if got, ok := ev.(cells.SummaryReceived); !ok || got.From != "he" || got.Summary.Cell != "west-1" {
			t.Errorf("event in the inbox of east-1: got %+v, want a SummaryReceived of west-1 from he", ev)
		}
	default:
		t.Error("inbox of east-1 is empty, want the summary of west-1")
	}
}

func (n *Node) nodeMeta() []byte { return (*delegate)(n).NodeMeta(memberlist.MetaMaxSize) }

func mustEncode(t *testing.T, from string, k envelopeKind, body any) []byte {
	t.Helper()
	data, err := encodeEnvelope(from, 4, 99, k, body)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// A cell refuses relays of another cell and of a flat fleet, and a flat fleet refuses relays of a cell. A
// flat fleet that a plan lists as a cell accepts relays without a plan.
func TestRelaysOfOtherCellsAreRefused(t *testing.T) {
	flatCellPlan := &cellplan.Plan{
		Number: 2,
		Cells: append(
			[]cellplan.Cell{{Name: "flat", Relays: 3, Contacts: []string{relayAddr(6)}}}, twoCells().Cells...,
		),
	}
	for cell, nodes := range map[string][]*Node{
		"":       {newIdleNodeInCell(t, "", nil), newIdleNodeInCell(t, "flat", flatCellPlan)},
		"east-1": {newIdleNodeInCell(t, "east-1", twoCells()), newIdleNodeInCell(t, "east-1", flatCellPlan)},
	} {
		for i, n := range nodes {
			for _, other := range []string{"", "east-1", "west-1"} {
				m := &memberlist.Node{Name: "he", Meta: []byte(other)}
				alive := (*delegate)(n).NotifyAlive(m)
				merge := (*delegate)(n).NotifyMerge([]*memberlist.Node{{Name: "she", Meta: []byte(cell)}, m})
				if (alive == nil) != (other == cell) || (merge == nil) != (other == cell) {
					t.Errorf("relay %d of cell %q, peer of %q: errors %v and %v, want both iff cells differ",
						i, cell, other, alive, merge)
				}
			}
		}
	}
}

// A record of another cell is rejected with an error of one line that names both cells. The record file of a
// flat fleet has the same form as before the program supported cells.
func TestRecordOfAnotherCell(t *testing.T) {
	dir := t.TempDir()
	for _, stored := range []string{"", "east-1"} {
		path := filepath.Join(dir, "state"+stored)
		file, _, err := openRecordFile(path, "s", stored, "me")
		if err != nil {
			t.Fatal(err)
		}
		if err := file.save(membership.Record{Incarnation: 3}); err != nil {
			t.Fatal(err)
		}
		file.close()
		data, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		fields := map[int]cbor.RawMessage{}
		err = cbor.Unmarshal(data, &fields)
		if err != nil || (fields[6] != nil) != (stored != "") || len(fields) > 6 {
			t.Errorf("record file of cell %q has %d fields, want up to 6, field 6 only in a cell; error %v",
				stored, len(fields), err)
		}
		for _, opened := range []string{"", "east-1", "west-1"} {
			file, rec, err := openRecordFile(path, "s", opened, "me")
			file.close()
			if (err == nil) != (opened == stored) || err == nil && rec.Incarnation != 3 {
				t.Errorf("record of cell %q opened for cell %q: got %+v, %v; want incarnation 3 or an error",
					stored, opened, rec, err)
			}
			want := fmt.Sprintf("of cell %q, not of cell %q", stored, opened)
			if err != nil && (!strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n")) {
				t.Errorf("error of another cell's record: got %v, want one line that names both cells", err)
			}
		}
	}
}
