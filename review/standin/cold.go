package main

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// The figures of the rule on servers that have just started, by the operators' pages.
const (
	slowStartCapacity = 0.36
	slowStartWindow   = 8600 * time.Millisecond
	overloadFactor    = 4
	overloadWindow    = 1500 * time.Millisecond
	meanLife          = 40 * time.Second // of a connection
)

// capacityFraction is the part of its capacity that a server has, a time after its start.
func capacityFraction(age time.Duration) float64 {
	return min(1, slowStartCapacity+(1-slowStartCapacity)*age.Seconds()/slowStartWindow.Seconds())
}

// mostStreams is how many new streams a server stands within the overload window, a time after its start.
func mostStreams(age time.Duration) float64 {
	perSecond := streamsPerServer / meanLife.Seconds()
	n := overloadFactor * capacityFraction(age) * perSecond * overloadWindow.Seconds()
	return n + 3*math.Sqrt(n) + 3
}

// playCold plays a deploy that replaces four of five servers, one after the other. What a new server gets in
// any 1.5 s of its first 8.6 s is compared with what it stands.
func playCold(r *rig) error {
	f, err := startAlertFleet(r, 5)
	if err != nil {
		return err
	}
	go f.reportLoads()
	clients, err := f.openStreams(85)
	if err != nil {
		return err
	}
	for _, c := range clients {
		go f.comeAgain(c)
	}
	time.Sleep(5 * time.Second)
	if !r.trouble {
		time.Sleep(32 * time.Second)
		return nil
	}
	broken := false
	for i := range 4 {
		old, startedAt := f.allServers()[i], time.Now()
		next, err := f.addServer(fmt.Sprintf("s%d", 6+i), startedAt)
		if err != nil {
			return err
		}
		go old.drain(2 * time.Second)
		f.registry.SetNode(old.name, old.node())
		time.Sleep(slowStartWindow)
		broken = next.wasOverrun(startedAt) || broken
	}
	if broken {
		return errBroken
	}
	return nil
}

// comeAgain opens a client's stream again, 170 to 1,400 ms after each end.
func (f *alertFleet) comeAgain(c *alertClient) {
	for {
		for outcome := ""; outcome == ""; outcome, _, _ = c.state() {
			time.Sleep(5 * time.Millisecond)
		}
		time.Sleep(time.Duration(170+rand.IntN(1230)) * time.Millisecond)
		next, err := openStream(f.rig, f.address, c.user, 8*time.Second)
		if err != nil {
			f.rig.note("%v", err)
			continue
		}
		go next.listen()
		c = next
	}
}

// drain sends a server's clients away bit by bit.
func (s *alertServer) drain(within time.Duration) {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	streams := s.upStreams()
	for _, t := range streams {
		s.sendAway(t)
		time.Sleep(within / time.Duration(len(streams)+1))
	}
}

// wasOverrun reports whether a server got more streams within the overload window than it stands.
func (s *alertServer) wasOverrun(startedAt time.Time) (overrun bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	most, mostAt := 0, time.Duration(0)
	for i, at := range s.upTimes {
		n := 0
		for _, other := range s.upTimes[i:] {
			if other.Sub(at) < overloadWindow {
				n++
			}
		}
		age := at.Add(overloadWindow).Sub(startedAt)
		overrun = overrun || float64(n) > mostStreams(age)
		if n > most {
			most, mostAt = n, age
		}
	}
	s.rig.note("server %s: %d streams in its first 8.6 s, at most %d within 1.5 s, which ended %d ms after its start; "+
		"it stands %.1f then", s.name, len(s.upTimes), most, mostAt.Milliseconds(), mostStreams(mostAt))
	return overrun
}
