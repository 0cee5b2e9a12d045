package cluster

import (
	"fmt"
	"testing"
	"time"

	"capersail/internal/testing/faultpoint"
)

// slowStartBudget is what a cold server's rule is told, and the load that would take it over its budget many times.
var slowStartBudget = SlowStartBudget{StartCapacity: 0.36, ColdMs: 8600, OverloadFactor: 4, LoadPerConnection: 0.8 * 4 / 240}

// slowStartUse plays a day on seven relays whose settings say there is one, as before a fleet grew: three warm servers take
// their clients, then a slowStartUse one comes while trouble plays. It returns how much of the slowStartUse server's allowance all
// relays together used up.
func slowStartUse(t *testing.T, talk bool, trouble func(fleet *Cluster)) float64 {
	fleet := newCluster(t, Layout{Relays: 7, Founders: 1, WithoutMembers: !talk, Settings: map[string]any{
		"balancers": 1, "specifics": map[string]any{"groups": false, "messageAimMs": []int{50}, "reportX0": "load asked of the server over what it can do", "tenantQuotaConnections": []int{240}}}}, 0)
	var sinks []*RecordingServer
	for i := range 4 {
		s, err := NewRecordingServer(fmt.Sprintf("s%d", i))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(s.Close)
		s.SetReport([]string{"x0=0.5", "x0=0.5", "x0=0.5", "x0=0"}[i])
		if sinks = append(sinks, s); i < 3 {
			fleet.Discovery.Set(s.ID, s.Address, "Ready")
		}
	}
	startAll(t, fleet)
	if talk {
		await(t, waitLimit()+10*time.Second, "at first", fleet.checkSettled)
	}
	tally := startLoad(t, fleet, 150, time.Second)
	time.Sleep(2500 * time.Millisecond)
	playing := make(chan struct{})
	go func() { defer close(playing); trouble(fleet) }()
	time.Sleep(700 * time.Millisecond) // in the middle of it
	began := Now()
	fleet.Discovery.SetStarted("s3", sinks[3].Address, "Ready", time.Now())
	time.Sleep(time.Duration(slowStartBudget.ColdMs) * time.Millisecond)
	came := sinks[3].ConnectedAt(began, began+slowStartBudget.ColdMs)
	<-playing
	spent := slowStartBudget.PeakUse(came, began)
	t.Logf("%d connections to the cold server, %.2f of what it is allowed; up %d, busy %d, other %d, unreached %d", len(came), spent,
		tally.Up.Load(), tally.Busy.Load(), tally.Other.Load(), tally.Unreachable.Load())
	return spent
}

// What all relays send to a cold server stays within its budget through a partition and its heal, and through a
// rolling replacement, though the settings' number of relays is a seventh of the truth. Relays that do not know
// each other go by that number, and go far over.
func TestColdBudgetOverProcesses(t *testing.T) {
	troubles := map[string]func(fleet *Cluster){
		"partition and heal": func(fleet *Cluster) {
			fleet.Split([]int{0, 0, 0, 0, 1, 1, 1})
			fleet.ApplyCuts()
			time.Sleep(5 * time.Second)
			fleet.Heal()
		},
		"rolling replacement": func(fleet *Cluster) {
			for i := range fleet.Relays {
				if i%2 == 0 {
					fleet.Kill(i)
				} else {
					fleet.Term(i)
				}
				fleet.Start(i)
				time.Sleep(800 * time.Millisecond)
			}
		},
	}
	for what, trouble := range troubles {
		t.Run(what, func(t *testing.T) {
			t.Parallel()
			if spent := slowStartUse(t, true, trouble); spent > 1 {
				t.Errorf("%.2f of the budget", spent)
			}
		})
	}
	t.Run("without members", func(t *testing.T) {
		t.Parallel()
		if spent := slowStartUse(t, false, func(*Cluster) {}); spent <= 1 {
			t.Errorf("the load takes %.2f of the budget only: this test would find nothing", spent)
		}
	})
}

// With the joint view taken out, the same faults make the shares of processes add up to over one: a relay that is cut
// off takes its share still when the others have divided it.
func TestSharesNeedTheJointViewOverProcesses(t *testing.T) {
	fleet := newCluster(t, Layout{Relays: 5, Unprotected: true}, 0)
	for i := range fleet.Relays {
		fleet.ChangeFaults(i, func(r *faultpoint.Rules) { r.NoJoint = true })
		fleet.Start(i)
	}
	await(t, waitLimit()+10*time.Second, "at first", fleet.checkSettled)
	fleet.ChangeFaults(0, func(r *faultpoint.Rules) { r.Rate = 0.95 }) // its grant lasts a little longer than the others think
	sum := func() float64 {
		all, err := fleet.History()
		if err != nil {
			t.Fatal(err)
		}
		most, _ := PeakShareSum(all)
		return most
	}
	// Whether the others divide its share before its grant is over hangs on when the cut falls between two renewals,
	// and on how soon they take it for gone: it is cut off again until they do.
	for range 12 {
		fleet.Split([]int{1, 0, 0, 0, 0})
		fleet.ApplyCuts()
		await(t, waitLimit(), "out", func() error { return fleet.checkRemoved(0) })
		if sum() > 1+1e-9 {
			return
		}
		fleet.Heal()
		await(t, waitLimit()+10*time.Second, "again", fleet.checkSettled)
	}
	t.Errorf("without the joint view the shares add up to %v at most, in 12 cuts", sum())
}
