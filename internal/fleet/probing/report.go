package probing

import (
	"slices"
	"time"

	"capersail/internal/fleet/duration"
)

// Report is what is known of the probes, for operators.
type Report struct {
	Relays            int               `json:"relays"` // that take part, this one too
	Probes            uint64            `json:"looks"`  // made by turns
	ReadingsReceived  uint64            `json:"taken"`  // readings of others that were new here
	QuarantinedRelays []string          `json:"doubted"`
	DroppedByReason   map[string]uint64 `json:"dropped"`
	Servers           []ServerReport    `json:"servers"`
}

// ServerReport is one server in a Report.
type ServerReport struct {
	ServerKey uint64  `json:"spot"`
	ID        string  `json:"id"` // its driver's to fill in
	Zone      string  `json:"zone"`
	Assigned  bool    `json:"mine"` // this relay is one of its probers
	Rank      int     `json:"rank"` // its place among them
	Load      float64 `json:"load"` // as believed, negative for unknown
	AgeMs     float64 `json:"age_ms"`
	Origin    string  `json:"by"` // whose reading that is, "" for none
}

// Report tells what the Scheduler knows.
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

// report is a server's row.
func (s *server) report(now time.Duration) ServerReport {
	row := ServerReport{
		ServerKey: s.Key, Zone: s.Zone, Assigned: s.rank >= 0, Rank: s.rank,
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
