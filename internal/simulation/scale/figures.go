package scale

import (
	"fmt"
	"runtime"
	"strings"
	"syscall"
	"time"

	"capersail/internal/simulation/network"
)

// Distribution is a rate over all relays of a fleet, in bytes or messages a second.
type Distribution struct {
	Mean      float64 // over all relays and seconds
	MaxMean   float64 // the greatest mean of a relay
	P99       float64 // the greatest 99th percentile of a relay's seconds
	MaxSecond float64 // the greatest second of any relay
}

// Figures are the costs of a fleet, for each relay and second unless a field says otherwise.
type Figures struct {
	Relays int
	Took   time.Duration // by the fleet's clock

	Out, In           Distribution     // bytes of payload in packets and streams
	WireOut, WireIn   Distribution     // the same with headers
	Packets           Distribution     // packets sent
	Streams           float64          // streams opened
	Kinds             Traffic          // messages and bytes sent, over all relays and the whole time
	OverflowedPackets uint64           // packets dropped at full queues, over all relays and the whole time
	Seconds           []network.Sample // by second: the sum of all relays

	CPUMillis        float64 // without the CPU time of the simulated network
	NetworkCPUMillis float64 // CPU time of the simulated network, which CPUMillis leaves out
	HeapMB, StackMB  float64 // of a relay, after a garbage collection
	Goroutines       float64 // of a relay

	RealTook, RealCPU time.Duration // real and CPU time of this process while it measured
}

// processorTime returns the user and system CPU time of this process.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// Observation is a measurement that is in progress.
type Observation struct {
	fleet            *Fleet
	packetCost       time.Duration
	trafficBefore    Traffic
	overflowedBefore uint64
	cpuBefore        time.Duration
	realBefore       time.Duration
	startedAt        time.Time
}

// Observe starts a measurement. packetCost is the result of PacketCost. Only one Observation may be in
// progress at a time.
func (f *Fleet) Observe(packetCost time.Duration) *Observation {
	f.Network.StartRecording()
	return &Observation{
		fleet:            f,
		packetCost:       packetCost,
		trafficBefore:    f.traffic.snapshot(),
		overflowedBefore: f.Network.OverflowedPackets(),
		cpuBefore:        processorTime(),
		realBefore:       machineNow(),
		startedAt:        time.Now(),
	}
}

// End returns the costs of the time since Observe.
func (o *Observation) End() Figures {
	took := time.Since(o.startedAt)
	realTook := machineNow() - o.realBefore
	cpu := processorTime() - o.cpuBefore
	figures := o.fleet.summarize(o.fleet.Network.Records(), took)
	figures.RealTook = realTook
	figures.RealCPU = cpu
	figures.Kinds = o.fleet.traffic.snapshot().since(o.trafficBefore)
	figures.OverflowedPackets = o.fleet.Network.OverflowedPackets() - o.overflowedBefore
	relaySeconds := took.Seconds() * float64(figures.Relays)
	networkTime := time.Duration(figures.Packets.Mean * relaySeconds * float64(o.packetCost))
	figures.NetworkCPUMillis = networkTime.Seconds() * 1000 / relaySeconds
	figures.CPUMillis = cpu.Seconds()*1000/relaySeconds - figures.NetworkCPUMillis
	figures.addMemory()
	return figures
}

// Measure returns the costs of the fleet over a duration, for which it waits.
func (f *Fleet) Measure(over, packetCost time.Duration) Figures {
	o := f.Observe(packetCost)
	time.Sleep(over)
	return o.End()
}

// summarize returns the traffic figures of the network's records.
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

func distributionOf(
	records []network.Record, took time.Duration, of func(network.Sample) int,
) (d Distribution) {
	for _, r := range records {
		mean := float64(of(r.Total)) / took.Seconds()
		d.Mean += mean / float64(len(records))
		d.MaxMean = max(d.MaxMean, mean)
		d.P99 = max(d.P99, float64(r.Percentile(0.99, of)))
		d.MaxSecond = max(d.MaxSecond, float64(r.Percentile(1, of)))
	}
	return d
}

// addMemory sets the memory and goroutines of this process, divided by the number of relays.
func (g *Figures) addMemory() {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	n := float64(max(g.Relays, 1))
	g.HeapMB = float64(m.HeapAlloc) / 1e6 / n
	g.StackMB = float64(m.StackInuse) / 1e6 / n
	g.Goroutines = float64(runtime.NumGoroutine()) / n
}

// columns are the column headings of a table of Rows.
var columns = []string{
	"relays",
	"seconds",
	"out, B/s",
	"out, 99th of 100 s / worst second of any relay",
	"in, B/s",
	"in, 99th / worst",
	"out with headers, B/s",
	"the same at the relay with most",
	"packets out a second",
	"CPU, ms a second",
	"the test's own network (taken off)",
	"heap, MB",
	"stacks, MB",
}

// Header returns the heading of a table of Rows in Markdown.
func Header() string { return tableHead(columns) }

func tableHead(columns []string) string {
	return tableRow(columns) + "\n|" + strings.Repeat(" --- |", len(columns))
}

func tableRow(cells []string) string { return "| " + strings.Join(cells, " | ") + " |" }

// Row returns the figures as a row of a table in Markdown, under Header.
func (g Figures) Row() string {
	return tableRow([]string{
		fmt.Sprint(g.Relays),
		fmt.Sprintf("%.0f", g.Took.Seconds()),
		fmt.Sprintf("%.0f", g.Out.Mean),
		fmt.Sprintf("%.0f / %.0f", g.Out.P99, g.Out.MaxSecond),
		fmt.Sprintf("%.0f", g.In.Mean),
		fmt.Sprintf("%.0f / %.0f", g.In.P99, g.In.MaxSecond),
		fmt.Sprintf("%.0f", g.WireOut.Mean),
		fmt.Sprintf("%.0f", g.WireOut.MaxMean),
		fmt.Sprintf("%.1f", g.Packets.Mean),
		fmt.Sprintf("%.2f", g.CPUMillis),
		fmt.Sprintf("%.2f", g.NetworkCPUMillis),
		fmt.Sprintf("%.2f", g.HeapMB),
		fmt.Sprintf("%.2f", g.StackMB),
	})
}

// KindRate returns how many bytes of a kind of traffic each relay sends in a second.
func (g Figures) KindRate(k TrafficKind) float64 {
	return float64(g.Kinds[k].Bytes) / g.Took.Seconds() / float64(max(g.Relays, 1))
}

// KindRows returns the kinds of traffic as rows of a Markdown table: bytes and messages that each relay sends
// in a second.
func (g Figures) KindRows() string {
	var b strings.Builder
	relaySeconds := g.Took.Seconds() * float64(max(g.Relays, 1))
	for k, t := range g.Kinds {
		if t.Bytes == 0 {
			continue
		}
		bytes := float64(t.Bytes) / relaySeconds
		messages := float64(t.Messages) / relaySeconds
		fmt.Fprintf(&b, "| %d | %s | %.0f | %.2f |\n", g.Relays, TrafficKind(k), bytes, messages)
	}
	return b.String()
}
