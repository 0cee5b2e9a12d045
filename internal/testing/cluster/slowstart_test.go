package cluster

import (
	"testing"
	"time"

	"capersail/internal/testing/faultpoint"
)

// slowStartBudget is that of the settings below, under a load that would go over it many times.
var slowStartBudget = SlowStartBudget{
	StartCapacity:     0.36,
	Window:            8600 * time.Millisecond,
	OverloadFactor:    4,
	LoadPerConnection: 0.8 * 4 / 240,
}

// slowStartUse has seven relays, whose settings say there is one, send a load to three servers, and to a
// fourth that begins its slow start while a disturbance plays. It returns how much of that server's budget
// all relays together used up. Relays know each other if members is set.
func slowStartUse(t *testing.T, members bool, disturb func(fleet *Cluster)) float64 {
	t.Helper()
	fleet := newCluster(t, Layout{
		Relays:            7,
		BootstrapSize:     1,
		WithoutMembership: !members,
		Settings: map[string]any{
			"balancers": 1,
			"specifics": map[string]any{
				"groups":                 false,
				"messageAimMs":           []int{50},
				"reportX0":               "load asked of the server over what it can do",
				"tenantQuotaConnections": []int{240},
			},
		},
	}, 0)
	addServers(t, fleet, 3, "x0=0.5")
	fresh := newServer(t, "s3", "x0=0")
	startAll(t, fleet)
	if members {
		await(t, waitLimit()+10*time.Second, "at first", fleet.checkSettled)
	}
	tally := startLoad(t, fleet, 150, time.Second)
	time.Sleep(2500 * time.Millisecond)
	playing := make(chan struct{})
	go func() {
		defer close(playing)
		disturb(fleet)
	}()
	time.Sleep(700 * time.Millisecond) // in the middle of it
	startedAt := Now()
	fleet.Discovery.SetWithStartTime(fresh.ID, fresh.Address, "Ready", time.Now())
	time.Sleep(slowStartBudget.Window)
	came := fresh.ConnectedAt(startedAt, startedAt+slowStartBudget.Window)
	<-playing
	use := slowStartBudget.PeakUsage(came, startedAt)
	t.Logf("%d connections in slow start, %.2f of the budget; up %d, busy %d, other %d, unreachable %d",
		len(came), use, tally.Accepted.Load(), tally.Rejected.Load(), tally.OtherAnswers.Load(),
		tally.DialFailures.Load())
	return use
}

// What all relays send to a server in slow start stays within its budget through a partition and its heal,
// and through a rolling replacement, though the settings' number of relays is a seventh of the truth. Relays
// that do not know each other go by that number, and go far over.
func TestColdBudgetOverProcesses(t *testing.T) {
	disturbances := map[string]func(fleet *Cluster){
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
					fleet.Terminate(i)
				}
				fleet.Start(i)
				time.Sleep(800 * time.Millisecond)
			}
		},
	}
	for name, disturb := range disturbances {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			if use := slowStartUse(t, true, disturb); use > 1 {
				t.Errorf("%.2f of the budget", use)
			}
		})
	}
	t.Run("without members", func(t *testing.T) {
		t.Parallel()
		if use := slowStartUse(t, false, func(*Cluster) {}); use <= 1 {
			t.Errorf("the load takes %.2f of the budget only: this test would find nothing", use)
		}
	})
}

// With the joint view taken out, the same faults make the shares of processes add up to over one: a relay
// that is cut off takes its share still when the others have divided it.
func TestSharesNeedTheJointViewOverProcesses(t *testing.T) {
	fleet := newCluster(t, Layout{Relays: 5, AllowShareOverrun: true}, 0)
	for i := range fleet.Relays {
		fleet.ChangeFaults(i, func(r *faultpoint.Rules) { r.NoJointViews = true })
		fleet.Start(i)
	}
	await(t, waitLimit()+10*time.Second, "at first", fleet.checkSettled)
	// Relay 0's lease lasts a little longer than the others think.
	fleet.ChangeFaults(0, func(r *faultpoint.Rules) { r.ClockRate = 0.95 })
	peakSum := func() float64 {
		all, err := fleet.History()
		if err != nil {
			t.Fatal(err)
		}
		peak, _ := PeakShareSum(all)
		return peak
	}
	// Whether the others divide its share before its lease is over depends on when the cut falls between two
	// renewals, and on how soon they suspect it: it is cut off again until they do.
	for range 12 {
		fleet.Split([]int{1, 0, 0, 0, 0})
		fleet.ApplyCuts()
		await(t, waitLimit(), "out", func() error { return fleet.checkRemoved(0) })
		if peakSum() > 1+1e-9 {
			return
		}
		fleet.Heal()
		await(t, waitLimit()+10*time.Second, "again", fleet.checkSettled)
	}
	t.Errorf("without the joint view the shares add up to %v at most, in 12 cuts", peakSum())
}
