package probing

import (
	"slices"
	"time"

	"capersail/internal/fleet/duration"
)

// Report is what a relay knows about shared probing, for operators.
type Report struct {
	Relays            int               `json:"relays"` // that take part, including this one
	Probes            uint64            `json:"looks"`  // by this relay, when it was its turn
	ReadingsReceived  uint64            `json:"taken"`  // readings of other relays that were new
	QuarantinedRelays []string          `json:"doubted"`
	DroppedByReason   map[string]uint64 `json:"dropped"`
	Servers           []ServerReport    `json:"servers"`
}

// ServerReport describes one server in a Report.
type ServerReport struct {
	ServerKey uint64  `json:"spot"`
	ID        string  `json:"id"` // filled in by the driver
	Zone      string  `json:"zone"`
	Assigned  bool    `json:"mine"` // this relay is one of its probers
	Rank      int     `json:"rank"` // of this relay among its probers, or -1
	Load      float64 `json:"load"` // of the reading in use, or -1 if unknown
	AgeMs     float64 `json:"age_ms"`
	Origin    string  `json:"by"` // relay that made the reading in use, "" for none
}

// Report returns what the Scheduler knows.
func (sc *Scheduler) Report(now time.Duration) Report {
	report := Report{
		Relays:           len(sc.peerNames) + 1,
		Probes:           sc.counters.probes,
		ReadingsReceived: sc.counters.received,
		DroppedByReason:  map[string]uint64{},
	}
	for reason, count := range sc.counters.dropped {
		report.DroppedByReason[string(reason)] = count
	}
	for name, o := range sc.relays {
		if now < o.quarantinedUntil {
			report.QuarantinedRelays = append(report.QuarantinedRelays, name)
		}
	}
	slices.Sort(report.QuarantinedRelays)
	for _, s := range sc.serverList {
		report.Servers = append(report.Servers, s.report(now))
	}
	return report
}

// report returns the server's entry of a Report.
func (s *server) report(now time.Duration) ServerReport {
	row := ServerReport{
		ServerKey: s.Key, Zone: s.Zone, Assigned: s.proberRank >= 0, Rank: s.proberRank,
		Load: -1, AgeMs: -1, Origin: s.usedOrigin,
	}
	if s.usedReadAt != duration.DistantPast {
		row.AgeMs = duration.Millis(now - s.usedReadAt)
	}
	for _, kept := range s.newestByOrigin {
		if kept.Origin == s.usedOrigin {
			row.Load = placementLoad(kept.Reading)
		}
	}
	return row
}
