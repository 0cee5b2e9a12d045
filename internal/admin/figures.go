package admin

import (
	"github.com/prometheus/client_golang/prometheus"

	"capersail/internal/relay"
)

// Source is one front's core as the figures read it.
type Source interface {
	ClassCounts() []relay.ClassCounts // by class number, since the process started
	OpenRequests() int                // connections taken and not ended
	EndpointCounts() relay.EndpointCounts
	GuardStats() relay.GuardStats
}

// Front is a source with the names of its classes, by number.
type Front struct {
	Source  Source
	Classes []string
}

// Figures is the collector of the relay's figures. Each is read from the fronts when it is asked for: no goroutine,
// no timer, nothing counted twice.
//
//	relay_answered{group}   counter  connections brought up, by class
//	relay_deferred{group}   counter  refused, trying again being harmless
//	relay_errored{group}    counter  failed
//	relay_sends{group}      counter  attempts whose first line went whole to a tile server
//	relay_current           gauge    connections taken and not ended
//	relay_cluster_size      gauge    tile servers in the list
//	relay_cluster_unhealthy gauge    of those, the ones the relay avoids now, by hand or by choice
//	relay_list_age_seconds  gauge    since discovery was last heard, of the front where that is longest
//	relay_list_lapsed       gauge    1 while a list of servers cannot be confirmed, and nothing new is sent by it
//	relay_denied{why}       counter  what was not sent or started, by what stood in the way
//	relay_refusals{why}     counter  final answers of the decision module that are no server's, by the reason
//	relay_violations{rule}  counter  what was done against a rule: each is a fault of this program
type Figures struct {
	fronts                                 []Front
	answered, deferred, errored, sends     *prometheus.Desc
	current, clusterSize, clusterUnhealthy *prometheus.Desc
	listAge, listLapsed                    *prometheus.Desc
	denied, refusals, violations           *prometheus.Desc
}

// NewFigures returns the collector of the fronts' figures.
func NewFigures(fronts ...Front) *Figures {
	byClass := func(name, help string) *prometheus.Desc {
		return prometheus.NewDesc(name, help, []string{"group"}, nil)
	}
	by := func(name, help, label string) *prometheus.Desc {
		return prometheus.NewDesc(name, help, []string{label}, nil)
	}
	one := func(name, help string) *prometheus.Desc { return prometheus.NewDesc(name, help, nil, nil) }
	return &Figures{fronts: fronts,
		answered:         byClass("relay_answered", "Connections brought up, by class, since the process started."),
		deferred:         byClass("relay_deferred", "Connections refused with a time to come again, by class."),
		errored:          byClass("relay_errored", "Connections failed, by class."),
		sends:            byClass("relay_sends", "Attempts whose first line went whole to a tile server, by class."),
		current:          one("relay_current", "Connections taken and not ended."),
		clusterSize:      one("relay_cluster_size", "Tile servers in the list."),
		clusterUnhealthy: one("relay_cluster_unhealthy", "Listed tile servers the relay avoids now, by hand or by choice."),
		listAge:          one("relay_list_age_seconds", "Seconds since discovery was last heard."),
		listLapsed:       one("relay_list_lapsed", "1 while the list of servers cannot be confirmed and nothing new is sent by it."),
		denied:           by("relay_denied", "What was not sent or started, by what stood in the way.", "why"),
		refusals:         by("relay_refusals", "Final answers of the decision module that are no server's, by the reason.", "why"),
		violations:       by("relay_violations", "What was done against a rule; each is a fault of the program.", "rule"),
	}
}

// Describe sends the descriptions of all figures.
func (f *Figures) Describe(ch chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{f.answered, f.deferred, f.errored, f.sends, f.current, f.clusterSize, f.clusterUnhealthy,
		f.listAge, f.listLapsed, f.denied, f.refusals, f.violations} {
		ch <- d
	}
}

// Collect reads every front. Classes of the same name in two fronts are added up.
func (f *Figures) Collect(ch chan<- prometheus.Metric) {
	type sums struct{ answered, deferred, errored, sends float64 }
	byName, order := map[string]*sums{}, []string{}
	var current, size, unhealthy float64
	for _, fr := range f.fronts {
		for i, c := range fr.Source.ClassCounts() {
			name := "unknown"
			if i < len(fr.Classes) {
				name = fr.Classes[i]
			}
			s := byName[name]
			if s == nil {
				s = &sums{}
				byName[name] = s
				order = append(order, name)
			}
			s.answered += float64(c.Established)
			s.deferred += float64(c.Rejected)
			s.errored += float64(c.Failed)
			s.sends += float64(c.Attempts)
		}
		current += float64(fr.Source.OpenRequests())
		cluster := fr.Source.EndpointCounts()
		size += float64(cluster.Listed)
		unhealthy += float64(cluster.EjectedManually + cluster.Ejected + cluster.Withheld)
	}
	for _, name := range order {
		s := byName[name]
		ch <- prometheus.MustNewConstMetric(f.answered, prometheus.CounterValue, s.answered, name)
		ch <- prometheus.MustNewConstMetric(f.deferred, prometheus.CounterValue, s.deferred, name)
		ch <- prometheus.MustNewConstMetric(f.errored, prometheus.CounterValue, s.errored, name)
		ch <- prometheus.MustNewConstMetric(f.sends, prometheus.CounterValue, s.sends, name)
	}
	ch <- prometheus.MustNewConstMetric(f.current, prometheus.GaugeValue, current)
	ch <- prometheus.MustNewConstMetric(f.clusterSize, prometheus.GaugeValue, size)
	ch <- prometheus.MustNewConstMetric(f.clusterUnhealthy, prometheus.GaugeValue, min(unhealthy, size))
	f.collectRules(ch)
}

// collectRules reads what the guard of every front has counted.
func (f *Figures) collectRules(ch chan<- prometheus.Metric) {
	age, lapsed := 0.0, 0.0
	sums := map[*prometheus.Desc]map[string]float64{f.denied: {}, f.refusals: {}, f.violations: {}}
	for _, fr := range f.fronts {
		figures := fr.Source.GuardStats()
		age = max(age, figures.EndpointListAge.Seconds())
		if figures.EndpointLeaseExpired {
			lapsed = 1
		}
		for desc, counts := range map[*prometheus.Desc]map[string]uint64{f.denied: figures.Denials, f.refusals: figures.Rejections, f.violations: figures.Violations} {
			for label, n := range counts {
				sums[desc][label] += float64(n)
			}
		}
	}
	ch <- prometheus.MustNewConstMetric(f.listAge, prometheus.GaugeValue, age)
	ch <- prometheus.MustNewConstMetric(f.listLapsed, prometheus.GaugeValue, lapsed)
	for desc, counts := range sums {
		for label, n := range counts {
			ch <- prometheus.MustNewConstMetric(desc, prometheus.CounterValue, n, label)
		}
	}
}
