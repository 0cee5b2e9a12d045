package membership

import (
	"encoding/hex"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// flatView returns a view of a flat fleet with a value in every field.
func flatView() *View {
	return &View{Epoch: 7, BootstrapSize: 5, UnreleasedSlots: []int{4}, Voters: []string{"r1", "r2"},
		Entries: []ViewEntry{
			{Name: "r1", IsMember: true, BudgetShare: FullBudget / 4, OutstandingLimit: FullBudget / 5},
			{Name: "r2", IsMember: true, Draining: true}, {Name: "r3", OutstandingLimit: FullBudget / 8}}}
}

// The encoding of what a relay of a flat fleet sends and stores must stay byte for byte as it was before
// cells were introduced, so that older and newer programs can run in one fleet.
func TestFlatBytesAreAsBeforeCells(t *testing.T) {
	view := flatView()
	if got, want := view.Hash(), uint64(17517558683486390685); got != want {
		t.Errorf("the hash of the view is %d, want %d", got, want)
	}
	node := New(time.Second, Config{Name: "r1", BootstrapSlot: 0, BootstrapSize: 5, ConfiguredRelays: 5,
		Seed: 1}, Record{Incarnation: 2, SlotReleased: true, View: view})
	var status Status
	for _, action := range node.Handle(2*time.Second,
		LocalState{Lifecycle: LifecycleServing, Zone: "z1", RequestRate: 12.5, OpenConnections: 3,
			EndpointListGeneration: 9}, nil) {
		if published, ok := action.(PublishStatus); ok {
			status = published.Status
		}
	}
	for name, c := range map[string]struct {
		value any
		want  string
	}{
		"view": {view,
			"a5010702050381040483a40162723102f5031b0000004000000000041b0000003333333333a30162" +
				"723202f505f5a201627233041b00000020000000000582627231627232"},
		"status": {status,
			"ad01010203030104627a3105fb4029000000000000060307090807091bf31adecf8544099d0a050b" +
				"000cf50d01"},
		"record": {Record{Incarnation: 3, SlotReleased: true, PromisedBallot: Ballot{4, "r2"},
			AcceptedBallot: Ballot{4, "r2"}, AcceptedView: view, View: view},
			"a6010302f503a201040262723204a201040262723205a5010702050381040483a40162723102f503" +
				"1b0000004000000000041b0000003333333333a30162723202f505f5a201627233041b0000002000" +
				"000000058262723162723206a5010702050381040483a40162723102f5031b000000400000000004" +
				"1b0000003333333333a30162723202f505f5a201627233041b000000200000000005826272316272" +
				"32"},
		"renewal": {Message{Kind: RenewLease, Epoch: 7, SentAtMillis: 1234.5,
			FromIncarnation: 3, BootstrapSlot: 0},
			"a70101020703fb40934a000000000005a20100026006a20100026009030a00"},
	} {
		got, err := cbor.Marshal(c.value)
		if err != nil {
			t.Fatal(err)
		}
		if hex.EncodeToString(got) != c.want {
			t.Errorf("encoding of a %s: got %x, want %s", name, got, c.want)
		}
	}
}
