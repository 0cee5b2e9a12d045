package network

import (
	"io"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/memberlist"
)

const here, there = "127.0.0.1:1", "127.0.0.2:1"

var zones = map[string]Place{here: {"north", "a"}, there: {"south", "b"}}

func placeOf(address string) Place { return zones[address] }

func endpoints(t testing.TB, n *Network) (from, to memberlist.NodeAwareTransport) {
	t.Helper()
	from, err := n.Transport("127.0.0.1", 1, nil)
	if err != nil {
		t.Fatal(err)
	}
	if to, err = n.Transport("127.0.0.2", 1, nil); err != nil {
		t.Fatal(err)
	}
	return from, to
}

func send(t testing.TB, from memberlist.NodeAwareTransport, text, to string) {
	t.Helper()
	if _, err := from.WriteToAddress([]byte(text), memberlist.Address{Addr: to}); err != nil {
		t.Fatal(err)
	}
}

// receivedTexts returns the packets that an endpoint has received by now.
func receivedTexts(at memberlist.NodeAwareTransport) (texts []string) {
	synctest.Wait()
	for {
		select {
		case p := <-at.PacketCh():
			texts = append(texts, string(p.Buf))
		default:
			return texts
		}
	}
}

// Packets arrive after their delay, and those of one slot in the order in which they were sent.
func TestDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const delay = 20 * time.Millisecond
		n := New(Config{Place: placeOf, Delay: func(from, to Place) time.Duration {
			if from.Region != "north" || to.Region != "south" {
				t.Errorf("delay of a packet from %v to %v, want from region north to south", from, to)
			}
			return delay
		}})
		from, to := endpoints(t, n)
		send(t, from, "one", there)
		send(t, from, "two", there)
		time.Sleep(delay - time.Millisecond)
		if got := receivedTexts(to); len(got) != 0 {
			t.Errorf("got %q before the delay, want nothing", got)
		}
		time.Sleep(time.Millisecond)
		if got := receivedTexts(to); len(got) != 2 || got[0] != "one" || got[1] != "two" {
			t.Errorf("got %q after the delay, want one and two", got)
		}
	})
}

// A cut stops traffic one way, Isolate both ways, and an endpoint that is down gets and sends nothing. All
// three can be undone.
func TestPartitions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := New(Config{Place: placeOf})
		from, to := endpoints(t, n)
		passes := func(what string, forth, back bool) {
			t.Helper()
			send(t, from, "x", there)
			send(t, to, "x", here)
			if got := len(receivedTexts(to)) == 1; got != forth {
				t.Errorf("%s: packet from here to there delivered: %v", what, got)
			}
			if got := len(receivedTexts(from)) == 1; got != back {
				t.Errorf("%s: packet from there to here delivered: %v", what, got)
			}
		}
		passes("at first", true, true)
		n.Cut("one way", InRegion("north"), InZone("b"))
		passes("one way", false, true)
		if _, err := to.DialAddressTimeout(memberlist.Address{Addr: here}, time.Second); err != ErrTimeout {
			t.Errorf("dialling while the way back is cut: got error %v, want ErrTimeout", err)
		}
		n.Heal("one way")
		n.Isolate("both", InZone("b"))
		passes("both", false, false)
		n.Heal("both")
		n.SetEndpointDown(there, true)
		passes("down", false, false)
		if _, err := from.DialAddressTimeout(memberlist.Address{Addr: there},
			time.Second); err != ErrRefused {
			t.Errorf("dialling an endpoint that is down: got error %v, want ErrRefused", err)
		}
		n.SetEndpointDown(there, false)
		passes("at last", true, true)
	})
}

// Packet loss drops about its fraction of the packets; lost packets count as sent.
func TestLoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const sent, part = 2000, 0.25
		n := New(Config{})
		from, to := endpoints(t, n)
		n.SetPacketLoss(part)
		n.StartRecording()
		came := 0
		for range sent {
			send(t, from, "x", there)
			came += len(receivedTexts(to))
		}
		if came < sent*65/100 || came > sent*85/100 { // ten standard deviations
			t.Errorf("%d of %d packets arrived, want between 65 and 85 in 100", came, sent)
		}
		if all := n.Records(); all[0].Total.PacketsOut != sent || all[1].Total.PacketsIn != came {
			t.Errorf("the sent or received packets are miscounted: %+v", all)
		}
	})
}

// Packets, connections and bytes are counted by the second, both ways, in packets and in streams. An endpoint
// that is started again goes on with the counts of its address.
func TestRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var opening atomic.Value
		n := New(Config{InspectStream: func(_ string, b []byte, _ int) { opening.Store(string(b)) }})
		from, to := endpoints(t, n)
		send(t, from, "before", there)
		n.StartRecording()
		send(t, from, "12345", there)
		time.Sleep(time.Second)
		c, err := from.DialAddressTimeout(memberlist.Address{Addr: there}, time.Second)
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			io.Copy(io.Discard, <-to.StreamCh())
		}()
		if _, err := c.Write([]byte("a stream")); err != nil {
			t.Fatal(err)
		}
		c.Close()
		if err := from.Shutdown(); err != nil {
			t.Fatal(err)
		}
		if from, err = n.Transport("127.0.0.1", 1, nil); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		send(t, from, "123", there)
		time.Sleep(time.Second)
		all := n.Records()
		want := []Sample{{PacketsOut: 1, BytesOut: 5}, {Connections: 1, StreamOut: 8},
			{PacketsOut: 1, BytesOut: 3}}
		if len(all) != 2 || len(all[0].Seconds) != len(want) {
			t.Fatalf("got records %+v, want two endpoints and three seconds", all)
		}
		for i, s := range all[0].Seconds {
			if s != want[i] {
				t.Errorf("second %d: %+v, want %+v", i, s, want[i])
			}
		}
		if in := all[1].Total; in.BytesIn != 8 || in.PacketsIn != 2 || in.StreamIn != 8 ||
			in.WireIn() != 16+2*PacketHeader {
			t.Errorf("received traffic is miscounted: %+v", in)
		}
		if all[0].Percentile(1, Sample.Out) != 8 || all[0].Percentile(0.5, Sample.Out) != 5 {
			t.Errorf("got percentiles 100 and 50 of %d and %d bytes, want 8 and 5",
				all[0].Percentile(1, Sample.Out),
				all[0].Percentile(0.5, Sample.Out))
		}
		if opening.Load() != "a stream" {
			t.Errorf("got opening %q of the stream, want \"a stream\"", opening.Load())
		}
		if _, err := n.Transport("127.0.0.1", 1, nil); err == nil {
			t.Error("a second endpoint with the same address was accepted, want an error")
		}
	})
}

// Measures the cost of one packet, its copy, count and delivery included, in real time.
func BenchmarkPacket(b *testing.B) {
	for _, delay := range []time.Duration{0, 2 * time.Millisecond} {
		b.Run(delay.String(), func(b *testing.B) {
			n := New(Config{Place: placeOf, Delay: func(Place, Place) time.Duration { return delay }})
			from, to := endpoints(b, n)
			n.StartRecording()
			done := make(chan struct{})
			go func() {
				for {
					select {
					case <-to.PacketCh():
					case <-done:
						return
					}
				}
			}()
			packet := make([]byte, 250)
			b.ReportAllocs()
			for b.Loop() {
				from.WriteToAddress(packet, memberlist.Address{Addr: there})
			}
			close(done)
		})
	}
}

var _ net.Conn = (*stream)(nil)
