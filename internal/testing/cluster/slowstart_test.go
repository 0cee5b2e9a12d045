package cluster

import (
	"fmt"
	"testing"
	"time"

	"capersail/internal/testing/faultpoint"
)

// coldDay is what a cold server's rule is told, and the load that would take it over its budget many times.
var coldDay = Budget{Start: 0.36, ColdMs: 8600, Multiple: 4, Adds: 0.8 * 4 / 240}

// cold plays a day on seven relays whose settings say there is one, as before a fleet grew: three warm servers take
// their clients, then a cold one comes while trouble plays. It returns how much of the cold server's allowance all
// relays together used up.
func cold(t *testing.T, talk bool, trouble func(g *Cluster)) float64 {
	g := lay(t, Plan{Relays: 7, Founders: 1, Alone: !talk, Settings: map[string]any{
		"balancers": 1, "specifics": map[string]any{"groups": false, "messageAimMs": []int{50}, "reportX0": "load asked of the server over what it can do", "tenantQuotaConnections": []int{240}}}}, 0)
	var sinks []*Sink
	for i := range 4 {
		s, err := NewSink(fmt.Sprintf("s%d", i))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(s.Close)
		s.SetReport([]string{"x0=0.5", "x0=0.5", "x0=0.5", "x0=0"}[i])
		if sinks = append(sinks, s); i < 3 {
			g.Discovery.Set(s.ID, s.Address, "Ready")
		}
	}
	startAll(t, g)
	if talk {
		await(t, patience()+10*time.Second, "at first", g.settled)
	}
	tally := load(t, g, 150, time.Second)
	time.Sleep(2500 * time.Millisecond)
	playing := make(chan struct{})
	go func() { defer close(playing); trouble(g) }()
	time.Sleep(700 * time.Millisecond) // in the middle of it
	began := Now()
	g.Discovery.SetStarted("s3", sinks[3].Address, "Ready", time.Now())
	time.Sleep(time.Duration(coldDay.ColdMs) * time.Millisecond)
	came := sinks[3].Came(began, began+coldDay.ColdMs)
	<-playing
	spent := coldDay.Spent(came, began)
	t.Logf("%d connections to the cold server, %.2f of what it is allowed; up %d, busy %d, other %d, unreached %d", len(came), spent,
		tally.Up.Load(), tally.Busy.Load(), tally.Other.Load(), tally.Unreached.Load())
	return spent
}

// What all relays send to a cold server stays within its budget through a partition and its heal, and through a
// rolling replacement, though the settings' number of relays is a seventh of the truth. Relays that do not know
// each other go by that number, and go far over.
func TestColdBudgetOverProcesses(t *testing.T) {
	troubles := map[string]func(g *Cluster){
		"partition and heal": func(g *Cluster) {
			g.Split([]int{0, 0, 0, 0, 1, 1, 1})
			g.Apply()
			time.Sleep(5 * time.Second)
			g.Heal()
		},
		"rolling replacement": func(g *Cluster) {
			for i := range g.Relays {
				if i%2 == 0 {
					g.Kill(i)
				} else {
					g.Term(i)
				}
				g.Start(i)
				time.Sleep(800 * time.Millisecond)
			}
		},
	}
	for what, trouble := range troubles {
		t.Run(what, func(t *testing.T) {
			t.Parallel()
			if spent := cold(t, true, trouble); spent > 1 {
				t.Errorf("%.2f of the budget", spent)
			}
		})
	}
	t.Run("without members", func(t *testing.T) {
		t.Parallel()
		if spent := cold(t, false, func(*Cluster) {}); spent <= 1 {
			t.Errorf("the load takes %.2f of the budget only: this test would find nothing", spent)
		}
	})
}

// With the joint view taken out, the same faults make the shares of processes add up to over one: a relay that is cut
// off takes its share still when the others have divided it.
func TestSharesNeedTheJointViewOverProcesses(t *testing.T) {
	g := lay(t, Plan{Relays: 5, Unsafe: true}, 0)
	for i := range g.Relays {
		g.Rule(i, func(r *faultpoint.Rules) { r.NoJoint = true })
		g.Start(i)
	}
	await(t, patience()+10*time.Second, "at first", g.settled)
	g.Rule(0, func(r *faultpoint.Rules) { r.Rate = 0.95 }) // its grant lasts a little longer than the others think
	sum := func() float64 {
		all, err := g.Histories()
		if err != nil {
			t.Fatal(err)
		}
		most, _ := MostTaken(all)
		return most
	}
	// Whether the others divide its share before its grant is over hangs on when the cut falls between two renewals,
	// and on how soon they take it for gone: it is cut off again until they do.
	for range 12 {
		g.Split([]int{1, 0, 0, 0, 0})
		g.Apply()
		await(t, patience(), "out", func() error { return g.without(0) })
		if sum() > 1+1e-9 {
			return
		}
		g.Heal()
		await(t, patience()+10*time.Second, "again", g.settled)
	}
	t.Errorf("without the joint view the shares add up to %v at most, in 12 cuts", sum())
}
