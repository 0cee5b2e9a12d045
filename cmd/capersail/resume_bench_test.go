package main

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"capersail/internal/testing/fake"
)

// These benchmarks are long and are not run in CI. To run them:
//
//	go test ./cmd/capersail -run '^$' -bench 'Gap|Mass' -benchtime 1x

// quantile sorts the durations and returns their quantile q in ms, 0 if there are none.
func quantile(all []time.Duration, q float64) float64 {
	if len(all) == 0 {
		return 0
	}
	slices.Sort(all)
	return float64(all[min(len(all)-1, int(q*float64(len(all))))].Microseconds()) / 1000
}

// BenchmarkGap measures the gap that a viewer sees, from the last scan before a connection ends to the first
// scan after it, and the number of scans lost, for viewers with and without tokens side by side. Servers
// drain in turn, a server is killed, a relay shuts down and another is killed.
func BenchmarkGap(b *testing.B) {
	for b.Loop() {
		f := newFleet(b, 6, "")
		var relays []string
		for i := range 3 {
			relays = append(relays, f.startRelay(i, 3))
		}
		f.waitFor("every relay to connect to the ownership service", f.ownershipConnected)
		viewers, stop := f.startViewers(200, func(i int) bool { return i%2 == 0 })
		collect := func(event string) {
			f.waitUntilViewersCurrent(viewers)
			for _, with := range []bool{true, false} {
				var gaps []time.Duration
				lost := uint64(0)
				for _, v := range viewers {
					if k := v.Stats(); v.UseTokens == with {
						gaps, lost = append(gaps, k.ReconnectGaps...), lost+k.Lost
					}
				}
				fmt.Printf("%-28s token %-5v  ends %4d  gap p50 %7.1f ms  p99 %8.1f ms  "+
					"scans lost so far %d\n",
					event, with, len(gaps), quantile(gaps, 0.5), quantile(gaps, 0.99), lost)
			}
			for _, v := range viewers {
				v.ClearReconnectGaps()
			}
		}
		f.waitUntilViewersCurrent(viewers)
		f.drainAllServers()
		collect("all servers drained in turn")
		f.servers[0].Kill()
		f.discovery.Set("s0", f.servers[0].Address, "Gone")
		collect("a server killed")
		f.removeFromRotation(relays[1])
		f.commands[relays[1]].Process.Signal(syscall.SIGTERM)
		f.commands[relays[1]].Wait()
		collect("a relay shut down")
		f.removeFromRotation(relays[2])
		f.commands[relays[2]].Process.Kill()
		collect("a relay killed")
		stop()
		f.checkLedger()
	}
}

// BenchmarkMassResume kills a relay with 2,000 streams just after half of the servers have been replaced by
// successors in slow start. It measures how long it takes until the other relay serves all streams, and the
// peak load of the servers in slow start.
func BenchmarkMassResume(b *testing.B) {
	const streams = 2000
	for b.Loop() {
		f := newFleet(b, 8, "claim_ms = 2000\n")
		f.changeConfig = func(c map[string]any) {
			c["limits"] = map[string]any{"cores": 1.0, "memory_mb": 512, "sockets": 16384}
		}
		for _, s := range f.servers {
			s.Capacity, s.SlowStartCapacity, s.SlowStartWindow = 700, 0.36, 8600*time.Millisecond
		}
		a, other := f.startRelay(0, 2), f.startRelay(1, 2)
		f.waitFor("every relay to connect to the ownership service", f.ownershipConnected)
		f.removeFromRotation(other)
		ctx, stop := context.WithCancel(b.Context())
		var all sync.WaitGroup
		var viewers []*fake.Viewer
		for i := range streams {
			v := &fake.Viewer{
				Name:         fmt.Sprint("v", i),
				OpenFields:   fmt.Sprintf("%x c=map-stream,t=acme", i+1),
				WaitLimit:    3 * time.Second,
				UseTokens:    true,
				SendEvery:    2 * time.Second,
				RelayAddress: f.randomRelay,
			}
			viewers = append(viewers, v)
			all.Go(func() { v.Run(ctx) })
			time.Sleep(2 * time.Millisecond)
		}
		served := func() (n int) {
			for _, v := range viewers {
				if k := v.Stats(); k.LastScan > 0 && v.ResumeToken() != "" {
					n++
				}
			}
			return n
		}
		f.waitFor("every stream to be served", func() bool { return served() == streams })
		for _, s := range f.servers[:4] { // replaced: their streams move to successors that are in slow start
			s.Kill()
			f.discovery.Set(s.ID, s.Address, "Gone")
		}
		var cold []*fake.ScanServer
		for i := range 4 {
			s, err := fake.NewScanServer(fmt.Sprint("c", i), "127.0.0.1:0", f.feed, f.ledger)
			if err != nil {
				b.Fatal(err)
			}
			b.Cleanup(s.Kill)
			s.Capacity, s.SlowStartCapacity, s.SlowStartWindow = 700, 0.36, 8600*time.Millisecond
			s.StartedAt = time.Now()
			f.discovery.SetWithStartTime(s.ID, s.Address, "Ready", s.StartedAt)
			cold = append(cold, s)
		}
		f.mu.Lock()
		f.rotation = []string{other}
		f.mu.Unlock()
		f.commands[a].Process.Kill()
		killed, at := time.Now(), f.feed.Newest()
		secondsUntilServed := func(fraction float64) float64 {
			f.waitFor("streams to be served again", func() bool {
				n := 0
				for _, v := range viewers {
					if v.Stats().LastScan > at+2 {
						n++
					}
				}
				return float64(n) >= fraction*streams
			})
			return time.Since(killed).Seconds()
		}
		half, most, whole := secondsUntilServed(0.5), secondsUntilServed(0.99), secondsUntilServed(1)
		peak, over, busy, lost := 0.0, time.Duration(0), 0, uint64(0)
		for _, s := range cold {
			p, o := s.PeakLoad()
			peak, over = max(peak, p), max(over, o)
		}
		for _, v := range viewers {
			k := v.Stats()
			busy, lost = busy+k.Rejected, lost+k.Lost
		}
		fmt.Printf("%d tokens after a relay was killed, session 4 s: half served after %.1f s, "+
			"99 %% after %.1f s, all after %.1f s; "+
			"rejected %.1f times each; scans lost %d; "+
			"peak load of servers in slow start %.2f (they fail at %.0f for 1.5 s), longest above it %v\n",
			streams, half, most, whole, float64(busy)/streams, lost, peak, fake.OverloadFactor, over)
		stop()
		all.Wait()
		f.checkLedger()
		b.ReportMetric(whole, "s/all")
		b.ReportMetric(peak, "peak")
	}
}
