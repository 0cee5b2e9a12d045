package probing

import (
	"slices"
	"time"

	"capersail/internal/fleet/duration"
)

// Report is what is known of the probes, for people.
type Report struct {
	Relays      int               `json:"relays"` // that share, this one too
	Probes      uint64            `json:"looks"`  // made by turns
	Received    uint64            `json:"taken"`  // readings of others that were new here
	Quarantined []string          `json:"doubted"`
	Dropped     map[string]uint64 `json:"dropped"`
	Servers     []ServerReport    `json:"servers"`
}

// ServerReport is one server in a Report.
type ServerReport struct {
	ServerKey uint64  `json:"spot"`
	ID        string  `json:"id"` // its driver's to fill in
	Zone      string  `json:"zone"`
	Assigned  bool    `json:"mine"` // this relay is one of its lookers
	Rank      int     `json:"rank"` // its place among them
	Load      float64 `json:"load"` // as believed, negative for unknown
	AgeMs     float64 `json:"age_ms"`
	Origin    string  `json:"by"` // whose reading that is, "" for none
}

// Report tells what the Scheduler knows.
func (sc *Scheduler) Report(now time.Duration) Report {
	out := Report{Relays: len(sc.peerNames) + 1, Probes: sc.probeCount, Received: sc.receivedReadings, Dropped: map[string]uint64{}}
	for why, n := range sc.dropCounts {
		out.Dropped[why] = n
	}
	for name, o := range sc.relays {
		if now < o.quarantinedUntil {
			out.Quarantined = append(out.Quarantined, name)
		}
	}
	slices.Sort(out.Quarantined)
	for _, s := range sc.serverList {
		row := ServerReport{ServerKey: s.Key, Zone: s.Zone, Assigned: s.rank >= 0, Rank: s.rank, Load: -1, AgeMs: -1, Origin: s.usedOrigin}
		if s.usedReadAt != duration.Never {
			row.AgeMs = duration.Millis(now - s.usedReadAt)
		}
		for _, h := range s.newestByOrigin {
			if h.Origin == s.usedOrigin {
				row.Load = placementLoad(h.Reading)
			}
		}
		out.Servers = append(out.Servers, row)
	}
	return out
}
