package scale

import (
	"fmt"
	"runtime"
	"strings"
	"syscall"
	"time"

	"capersail/internal/simulation/network"
)

// Distribution is a figure of all relays of a fleet, in bytes or messages a second.
type Distribution struct {
	Mean      float64 // of all relays and seconds
	MaxMean   float64 // of the relay that has most of it in the mean
	P99       float64 // the 99th of 100 seconds of the relay where that is greatest
	MaxSecond float64 // the worst second of any relay
}

// Figures are what a fleet costs each of its relays in a second.
type Figures struct {
	Relays            int
	Took              time.Duration // by the fleet's clock
	Out, In           Distribution  // bytes of payload, packets and streams
	WireOut, WireIn   Distribution  // with the headers of a wire
	Packets           Distribution  // that go out
	Streams           float64       // opened
	CPUMillis         float64       // ms, without what the simulated network takes
	NetworkCPUMillis  float64       // ms that were taken off for it
	HeapMB, StackMB   float64       // that live after a collection
	Goroutines        float64
	Kinds             Traffic          // in all
	Seconds           []network.Sample // of all relays together
	Overflowed        uint64
	RealTook, RealCPU time.Duration // of this process, to measure it all
}

// processorTime is what this process has used.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// Observation is a stretch of time that is measured.
type Observation struct {
	fleet                 *Fleet
	packetCost            time.Duration
	trafficBefore         Traffic
	overflowedBefore      uint64
	cpuBefore, realBefore time.Duration
	startedAt             time.Time
}

// Observe begins to measure. packetCost is what PacketCost returned. There is one Observation at a time.
func (f *Fleet) Observe(packetCost time.Duration) *Observation {
	f.Network.Record()
	return &Observation{fleet: f, packetCost: packetCost, trafficBefore: f.traffic.snapshot(), overflowedBefore: f.Network.Overflowed(), cpuBefore: processorTime(), realBefore: machineNow(), startedAt: time.Now()}
}

// End tells what the time since Observe has cost.
func (o *Observation) End() Figures {
	f, took := o.fleet, time.Since(o.startedAt)
	elapsed, cpu := machineNow()-o.realBefore, processorTime()-o.cpuBefore
	figures := f.summarize(f.Network.Recorded(), took)
	figures.RealTook, figures.RealCPU = elapsed, cpu
	after := f.traffic.snapshot()
	for k := range after {
		figures.Kinds[k].Messages, figures.Kinds[k].Bytes = after[k].Messages-o.trafficBefore[k].Messages, after[k].Bytes-o.trafficBefore[k].Bytes
	}
	figures.Overflowed = f.Network.Overflowed() - o.overflowedBefore
	each := took.Seconds() * float64(figures.Relays)
	networkTime := time.Duration(figures.Packets.Mean * each * float64(o.packetCost))
	figures.NetworkCPUMillis = networkTime.Seconds() * 1000 / each
	figures.CPUMillis = cpu.Seconds()*1000/each - figures.NetworkCPUMillis
	figures.addMemory()
	return figures
}

// Measure lets time pass and tells what it cost.
func (f *Fleet) Measure(over, packetCost time.Duration) Figures {
	o := f.Observe(packetCost)
	time.Sleep(over)
	return o.End()
}

func (f *Fleet) summarize(records []network.Record, took time.Duration) Figures {
	out := Figures{Relays: len(f.running()), Took: took}
	connections := 0
	for _, r := range records {
		connections += r.Total.Connections
		for i, s := range r.Seconds {
			if i == len(out.Seconds) {
				out.Seconds = append(out.Seconds, network.Sample{})
			}
			out.Seconds[i].Add(s)
		}
	}
	out.Streams = float64(connections) / took.Seconds() / float64(max(out.Relays, 1))
	out.Out = distributionOf(records, took, network.Sample.Out)
	out.In = distributionOf(records, took, network.Sample.In)
	out.WireOut = distributionOf(records, took, network.Sample.WireOut)
	out.WireIn = distributionOf(records, took, network.Sample.WireIn)
	out.Packets = distributionOf(records, took, func(s network.Sample) int { return s.PacketsOut })
	return out
}

func distributionOf(records []network.Record, took time.Duration, of func(network.Sample) int) (s Distribution) {
	for _, r := range records {
		mean := float64(of(r.Total)) / took.Seconds()
		s.Mean += mean / float64(len(records))
		s.MaxMean = max(s.MaxMean, mean)
		s.P99 = max(s.P99, float64(r.Percentile(0.99, of)))
		s.MaxSecond = max(s.MaxSecond, float64(r.Percentile(1, of)))
	}
	return s
}

func (g *Figures) addMemory() {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	n := float64(max(g.Relays, 1))
	g.HeapMB, g.StackMB = float64(m.HeapAlloc)/1e6/n, float64(m.StackInuse)/1e6/n
	g.Goroutines = float64(runtime.NumGoroutine()) / n
}

// Row is the figures as a row of a table in Markdown; see Header.
func (g Figures) Row() string {
	return fmt.Sprintf("| %d | %.0f | %.0f | %.0f / %.0f | %.0f | %.0f / %.0f | %.0f | %.0f | %.1f | %.2f | %.2f | %.2f | %.2f |", g.Relays, g.Took.Seconds(), g.Out.Mean, g.Out.P99, g.Out.MaxSecond,
		g.In.Mean, g.In.P99, g.In.MaxSecond, g.WireOut.Mean, g.WireOut.MaxMean, g.Packets.Mean, g.CPUMillis, g.NetworkCPUMillis, g.HeapMB, g.StackMB)
}

// Header heads a table of Rows.
const Header = "| relays | seconds | out, B/s | out, 99th of 100 s / worst second of any relay | in, B/s | in, 99th / worst | out with headers, B/s | the same at the relay with most | packets out a second " +
	"| CPU, ms a second | the test's own network (taken off) | heap, MB | stacks, MB |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |"

// KindRate is how many bytes of a kind each relay sends in a second.
func (g Figures) KindRate(k Kind) float64 {
	return float64(g.Kinds[k].Bytes) / g.Took.Seconds() / float64(max(g.Relays, 1))
}

// KindRows are the kinds as rows of a table in Markdown: bytes and messages that each relay sends in a second.
func (g Figures) KindRows() string {
	var b strings.Builder
	each := g.Took.Seconds() * float64(max(g.Relays, 1))
	for k, t := range g.Kinds {
		if t.Bytes > 0 {
			fmt.Fprintf(&b, "| %d | %s | %.0f | %.2f |\n", g.Relays, Kind(k), float64(t.Bytes)/each, float64(t.Messages)/each)
		}
	}
	return b.String()
}
