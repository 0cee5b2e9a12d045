package membership

import (
	"testing"
	"time"
)

// A relay that joins a chain bootstrapped with fewer slots than its number says that it has none: a status
// with a place that the chain does not have would be taken for nonsense.
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
			t.Errorf("size %d, slot %d", p.Status.BootstrapSize, p.Status.BootstrapSlot)
		}
	}
	if n.View().Epoch != 1 || n.status().BootstrapSlot != -1 {
		t.Errorf("epoch %d, slot %d", n.View().Epoch, n.status().BootstrapSlot)
	}
}
