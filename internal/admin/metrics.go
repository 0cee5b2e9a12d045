package admin

import (
	"github.com/prometheus/client_golang/prometheus"

	"capersail/internal/relay"
)

// MetricsSource is one front's request table as the metrics read it.
type MetricsSource interface {
	ClassCounts() []relay.ClassCounts // by class number, since the process started
	OpenRequests() int                // requests accepted and not ended
	EndpointCounts() relay.EndpointCounts
	GuardStats() relay.GuardStats
}

// Front is a Source with the names of its classes, by number.
type Front struct {
	Source  MetricsSource
	Classes []string
}

// Collector is the Prometheus collector of the relay's metrics. Each is read from the fronts when it is
// collected: there is no goroutine and no timer. It maps the terms of the code to the metric names that
// operators use:
//
//	relay_answered{group}   counter  requests established, by class
//	relay_deferred{group}   counter  requests rejected: a retry is harmless
//	relay_errored{group}    counter  requests failed
//	relay_sends{group}      counter  attempts whose first line was written completely to a server
//	relay_current           gauge    requests accepted and not ended
//	relay_cluster_size      gauge    servers in the endpoint list
//	relay_cluster_unhealthy gauge    of those, the ones ejected, manually or as outliers
//	relay_list_age_seconds  gauge    since discovery was last heard, the longest of all fronts
//	relay_list_lapsed       gauge    1 while an endpoint list's lease has expired
//	relay_denied{why}       counter  attempts and requests that the guard denied, by reason
//	relay_refusals{why}     counter  requests that the decision module rejected or failed, by reason
//	relay_violations{rule}  counter  invariants violated: each is a fault of this program
type Collector struct {
	fronts                                 []Front
	answered, deferred, errored, sends     *prometheus.Desc
	current, clusterSize, clusterUnhealthy *prometheus.Desc
	listAge, listLapsed                    *prometheus.Desc
	denied, refusals, violations           *prometheus.Desc
}

// NewCollector returns the collector of the fronts' metrics.
func NewCollector(fronts ...Front) *Collector {
	byClass := func(name, help string) *prometheus.Desc {
		return prometheus.NewDesc(name, help, []string{"group"}, nil)
	}
	by := func(name, help, label string) *prometheus.Desc {
		return prometheus.NewDesc(name, help, []string{label}, nil)
	}
	one := func(name, help string) *prometheus.Desc { return prometheus.NewDesc(name, help, nil, nil) }
	return &Collector{
		fronts: fronts,
		answered: byClass("relay_answered",
			"Requests established, by class, since the process started."),
		deferred: byClass("relay_deferred", "Requests rejected: a retry is harmless, by class."),
		errored:  byClass("relay_errored", "Requests failed, by class."),
		sends: byClass("relay_sends",
			"Attempts whose first line was written to a server, by class."),
		current:     one("relay_current", "Requests accepted and not ended."),
		clusterSize: one("relay_cluster_size", "Servers in the endpoint list."),
		clusterUnhealthy: one("relay_cluster_unhealthy",
			"Listed servers that are ejected, manually or as outliers."),
		listAge:    one("relay_list_age_seconds", "Seconds since discovery was last heard."),
		listLapsed: one("relay_list_lapsed", "1 while the endpoint list's lease has expired."),
		denied: by("relay_denied",
			"Attempts and requests that the guard denied, by reason.", "why"),
		refusals: by("relay_refusals",
			"Requests rejected or failed by the decision module, by reason.", "why"),
		violations: by("relay_violations",
			"Invariants violated; each is a fault of the program.", "rule"),
	}
}

// Describe sends the descriptions of all metrics.
func (f *Collector) Describe(ch chan<- *prometheus.Desc) {
	all := []*prometheus.Desc{
		f.answered, f.deferred, f.errored, f.sends,
		f.current, f.clusterSize, f.clusterUnhealthy,
		f.listAge, f.listLapsed,
		f.denied, f.refusals, f.violations,
	}
	for _, desc := range all {
		ch <- desc
	}
}

// Collect reads every front. Classes of the same name in two fronts are added up.
func (f *Collector) Collect(ch chan<- prometheus.Metric) {
	f.collectClasses(ch)
	f.collectTotals(ch)
	f.collectGuard(ch)
}

// collectClasses sends the counters of the classes.
func (f *Collector) collectClasses(ch chan<- prometheus.Metric) {
	byName := map[string]*relay.ClassCounts{}
	var order []string
	for _, front := range f.fronts {
		for i, counts := range front.Source.ClassCounts() {
			name := front.className(i)
			sum := byName[name]
			if sum == nil {
				sum = &relay.ClassCounts{}
				byName[name] = sum
				order = append(order, name)
			}
			sum.Established += counts.Established
			sum.Rejected += counts.Rejected
			sum.Failed += counts.Failed
			sum.Attempts += counts.Attempts
		}
	}
	counter := func(desc *prometheus.Desc, value uint64, class string) {
		ch <- prometheus.MustNewConstMetric(desc, prometheus.CounterValue, float64(value), class)
	}
	for _, name := range order {
		sum := byName[name]
		counter(f.answered, sum.Established, name)
		counter(f.deferred, sum.Rejected, name)
		counter(f.errored, sum.Failed, name)
		counter(f.sends, sum.Attempts, name)
	}
}

// className is the name of a class by its number.
func (f Front) className(class int) string {
	if class < len(f.Classes) {
		return f.Classes[class]
	}
	return "unknown"
}

// collectTotals sends the gauges of requests and servers.
func (f *Collector) collectTotals(ch chan<- prometheus.Metric) {
	open, listed, ejected := 0, 0, 0
	for _, front := range f.fronts {
		open += front.Source.OpenRequests()
		endpoints := front.Source.EndpointCounts()
		listed += endpoints.Listed
		ejected += endpoints.EjectedManually + endpoints.Ejected + endpoints.Withheld
	}
	gauge := func(desc *prometheus.Desc, value int) {
		ch <- prometheus.MustNewConstMetric(desc, prometheus.GaugeValue, float64(value))
	}
	gauge(f.current, open)
	gauge(f.clusterSize, listed)
	gauge(f.clusterUnhealthy, min(ejected, listed))
}

// collectGuard sends what the guard of every front has counted.
func (f *Collector) collectGuard(ch chan<- prometheus.Metric) {
	age, lapsed := 0.0, 0.0
	sums := map[*prometheus.Desc]map[string]float64{f.denied: {}, f.refusals: {}, f.violations: {}}
	for _, fr := range f.fronts {
		figures := fr.Source.GuardStats()
		age = max(age, figures.EndpointListAge.Seconds())
		if figures.EndpointLeaseExpired {
			lapsed = 1
		}
		byDesc := map[*prometheus.Desc]map[string]uint64{
			f.denied:     figures.Denials,
			f.refusals:   figures.Rejections,
			f.violations: figures.Violations,
		}
		for desc, counts := range byDesc {
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
