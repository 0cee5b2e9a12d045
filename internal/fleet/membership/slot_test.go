package membership

import (
	"testing"
	"time"
)

// A relay may join a chain that was bootstrapped with fewer slots than its slot number. Its status must then
// report no slot: peers drop a status whose slot the chain does not have as malformed.
func TestSlotBeyondTheChainIsNone(t *testing.T) {
	n := New(0, Config{Name: "r3", BootstrapSlot: 3, BootstrapSize: 4, ConfiguredRelays: 4}, Record{})
	n.Start(0, nil)
	view := &View{Epoch: 1, BootstrapSize: 2, Voters: []string{"r0"},
		Entries: []ViewEntry{{Name: "r0", IsMember: true, BudgetShare: FullBudget}}}
	if err := view.Check(); err != nil {
		t.Fatal(err)
	}
	for _, a := range n.Handle(time.Millisecond,
		MessageReceived{From: "r0", Message: Message{Kind: Learn, View: view, FromIncarnation: 1}}, nil) {
		if p, ok := a.(PublishStatus); ok && p.Status.Epoch == 1 && p.Status.BootstrapSlot != -1 {
			t.Errorf("published bootstrap size %d and slot %d, want slot -1",
				p.Status.BootstrapSize, p.Status.BootstrapSlot)
		}
	}
	if n.View().Epoch != 1 || n.status().BootstrapSlot != -1 {
		t.Errorf("got epoch %d and slot %d, want epoch 1 and slot -1",
			n.View().Epoch, n.status().BootstrapSlot)
	}
}
