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

// twoCells is a plan of two cells of three relays.
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

// lonelyIn is a Node of a cell that doesn't run.
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

// Two cells whose seeds name relays of both stay apart, and each hears of the other by summaries.
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
			count += region.Known
		}
		return count
	}
	waitFor(t, time.Minute, "two views of three, and each hears of the other", func() bool {
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
			t.Errorf("r%d knows %d relays", i, len(r.Members))
		}
		for _, m := range r.Members {
			if strings.Compare(m.Name, "r3") < 0 != (i < 3) {
				t.Errorf("r%d knows %s of the other cell", i, m.Name)
			}
		}
	}
}

// Envelopes of one cell are nothing to relays of another or of a flat fleet; summaries are, where there is a
// plan; a flat fleet's envelopes and metadata are what they were before there were cells.
func TestEnvelopesOfCells(t *testing.T) {
	flat := newIdleNodeInCell(t, "", nil)
	east, west := newIdleNodeInCell(t, "east-1", twoCells()), newIdleNodeInCell(t, "west-1", twoCells())
	east.startCells("east-1", *twoCells())
	sealed := func(n *Node, k envelopeKind, body any) []byte {
		data, err := n.encodeForCell(4, 7, k, body)
		if err != nil {
			t.Fatal(err)
		}
		return bytes.Replace(data, []byte("me"), []byte("he"), 1)
	}
	status := sampleStatus()
	plain, err := encodeEnvelope("he", 4, 7, kindStatus, status)
	if err != nil || !bytes.Equal(plain, sealed(flat, kindStatus, status)) {
		t.Errorf("a flat fleet's envelope is %x, not %x; %v", sealed(flat, kindStatus, status), plain, err)
	}
	if flat.nodeMeta() != nil || string(east.nodeMeta()) != "east-1" {
		t.Errorf("metadata: %q, %q", flat.nodeMeta(), east.nodeMeta())
	}
	summary := cells.Summary{
		Cell:           "west-1",
		Region:         "west",
		Representative: "he",
		Incarnation:    4,
		Seq:            1,
		Members:        3,
		Serving:        3,
	}
	fromWest, err := encodeEnvelope("he", 4, 8, kindSummary, summary)
	if err != nil {
		t.Fatal(err)
	}
	astray := summary
	astray.Representative = "she" // not the sender
	wrong, err := encodeEnvelope("he", 4, 9, kindSummary, astray)
	if err != nil {
		t.Fatal(err)
	}
	for _, one := range []struct {
		what string
		to   *Node
		data []byte
		why  dropReason // reasons for taken
	}{
		{"its own cell's status", east, sealed(east, kindStatus, status), dropReasonCount},
		{"another cell's status", east, sealed(west, kindStatus, status), dropForeign},
		{"a flat fleet's status", east, sealed(flat, kindStatus, status), dropForeign},
		{"a cell's status in a flat fleet", flat, sealed(west, kindStatus, status), dropForeign},
		{"a summary", east, fromWest, dropReasonCount},
		{"the same again", east, fromWest, dropReplayed},
		{"a summary of somebody else", east, wrong, dropMalformed},
		{"a summary without a plan", flat, fromWest, dropUnknown},
		{"no body of a cell", east, mustEncode(t, "he", kindCellScoped, "nonsense"), dropMalformed},
		{
			"a cell's directory from outside", east,
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
				"%s: taken %v, %d of %s", one.what, taken,
				one.to.dropped.total[one.why%dropReasonCount].Load(), append(dropReasonNames[:], "")[one.why],
			)
		}
	}
	select {
	case ev := <-east.cells.Load().inbox:
		if got, ok := ev.(cells.SummaryReceived); !ok || got.From != "he" || got.Summary.Cell != "west-1" {
			t.Errorf("%+v", ev)
		}
	default:
		t.Error("the summary has not come through")
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

// A relay of another cell, or of a flat fleet, is no peer of a cell's, nor the other way round; a flat fleet
// that a plan gives a part takes relays without a plan.
func TestRelaysOfOtherCellsAreRefused(t *testing.T) {
	moved := &cellplan.Plan{
		Number: 2,
		Cells: append(
			[]cellplan.Cell{{Name: "flat", Relays: 3, Contacts: []string{relayAddr(6)}}}, twoCells().Cells...,
		),
	}
	for cell, nodes := range map[string][]*Node{
		"":       {newIdleNodeInCell(t, "", nil), newIdleNodeInCell(t, "flat", moved)},
		"east-1": {newIdleNodeInCell(t, "east-1", twoCells()), newIdleNodeInCell(t, "east-1", moved)},
	} {
		for i, n := range nodes {
			for _, other := range []string{"", "east-1", "west-1"} {
				m := &memberlist.Node{Name: "he", Meta: []byte(other)}
				alive := (*delegate)(n).NotifyAlive(m)
				merge := (*delegate)(n).NotifyMerge([]*memberlist.Node{{Name: "she", Meta: []byte(cell)}, m})
				if (alive == nil) != (other == cell) || (merge == nil) != (other == cell) {
					t.Errorf("relay %d of cell %q, a peer of %q: %v, %v", i, cell, other, alive, merge)
				}
			}
		}
	}
}

// A record of another cell is refused in one line that names both; a flat fleet's file is what it was before
// there were cells.
func TestRecordOfAnotherCell(t *testing.T) {
	dir := t.TempDir()
	for _, kept := range []string{"", "east-1"} {
		path := filepath.Join(dir, "state"+kept)
		d, _, err := openRecordFile(path, "s", kept, "me")
		if err != nil {
			t.Fatal(err)
		}
		if err := d.save(membership.Record{Incarnation: 3}); err != nil {
			t.Fatal(err)
		}
		d.close()
		data, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		fields := map[int]cbor.RawMessage{}
		err = cbor.Unmarshal(data, &fields)
		if err != nil || (fields[6] != nil) != (kept != "") || len(fields) > 6 {
			t.Errorf("cell %q: %d fields, %v", kept, len(fields), err)
		}
		for _, asked := range []string{"", "east-1", "west-1"} {
			d, rec, err := openRecordFile(path, "s", asked, "me")
			d.close()
			if (err == nil) != (asked == kept) || err == nil && rec.Incarnation != 3 {
				t.Errorf("of %q, asked as %q: %+v, %v", kept, asked, rec, err)
			}
			want := fmt.Sprintf("of cell %q, not of cell %q", kept, asked)
			if err != nil && (!strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n")) {
				t.Errorf("%v", err)
			}
		}
	}
}
