package admin

import (
	"github.com/prometheus/client_golang/prometheus"

	"capersail/internal/relay"
)

// MetricsSource is the request table of one front, from which the metrics are read.
type MetricsSource interface {
	ClassCounts() []relay.ClassCounts // by class number, counted since the process started
	OpenRequests() int                // accepted and not ended
	EndpointCounts() relay.EndpointCounts
	GuardStats() relay.GuardStats
}

// Front is a front's MetricsSource and the names of the front's classes, by class number.
type Front struct {
	Source  MetricsSource
	Classes []string
}

// Collector is the Prometheus collector of the relay's metrics. It reads the metrics from the fronts when
// they are scraped, without a goroutine or a timer, and maps the terms of the code to the metric names that
// operators use:
//
//	relay_answered{group}   counter  requests established, by class
//	relay_deferred{group}   counter  requests rejected: a retry is harmless
//	relay_errored{group}    counter  requests failed
//	relay_sends{group}      counter  attempts whose first line was written completely to a server
//	relay_current           gauge    requests accepted and not ended
//	relay_cluster_size      gauge    servers in the endpoint list
//	relay_cluster_unhealthy gauge    listed servers that are ejected, manually or as outliers
//	relay_list_age_seconds  gauge    time since discovery last answered, the longest of all fronts
//	relay_list_lapsed       gauge    1 while an endpoint list's lease has expired
//	relay_denied{why}       counter  attempts and requests that the guard denied, by reason
//	relay_refusals{why}     counter  requests that the decision module rejected or failed, by reason
//	relay_violations{rule}  counter  invariants violated: each violation is a bug in this program
type Collector struct {
	fronts                                      []Front
	established, rejected, failed, attempts     *prometheus.Desc
	openRequests, listedServers, ejectedServers *prometheus.Desc
	endpointListAge, endpointLeaseExpired       *prometheus.Desc
	denials, rejections, violations             *prometheus.Desc
}

// NewCollector returns a collector of the metrics of all fronts.
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
		established: byClass("relay_answered",
			"Requests established, by class, since the process started."),
		rejected: byClass("relay_deferred", "Requests rejected: a retry is harmless, by class."),
		failed:   byClass("relay_errored", "Requests failed, by class."),
		attempts: byClass("relay_sends",
			"Attempts whose first line was written to a server, by class."),
		openRequests:  one("relay_current", "Requests accepted and not ended."),
		listedServers: one("relay_cluster_size", "Servers in the endpoint list."),
		ejectedServers: one("relay_cluster_unhealthy",
			"Listed servers that are ejected, manually or as outliers."),
		endpointListAge:      one("relay_list_age_seconds", "Seconds since discovery was last heard."),
		endpointLeaseExpired: one("relay_list_lapsed", "1 while the endpoint list's lease has expired."),
		denials: by("relay_denied",
			"Attempts and requests that the guard denied, by reason.", "why"),
		rejections: by("relay_refusals",
			"Requests rejected or failed by the decision module, by reason.", "why"),
		violations: by("relay_violations",
			"Invariants violated; each is a fault of the program.", "rule"),
	}
}

// Describe sends the descriptions of all metrics.
func (c *Collector) Describe(ch chan<- *prometheus.Desc) {
	all := []*prometheus.Desc{
		c.established, c.rejected, c.failed, c.attempts,
		c.openRequests, c.listedServers, c.ejectedServers,
		c.endpointListAge, c.endpointLeaseExpired,
		c.denials, c.rejections, c.violations,
	}
	for _, desc := range all {
		ch <- desc
	}
}

// Collect sends the metrics of all fronts. The counters of a class that several fronts have are added up.
func (c *Collector) Collect(ch chan<- prometheus.Metric) {
	c.collectClasses(ch)
	c.collectTotals(ch)
	c.collectGuard(ch)
}

// collectClasses sends the counters of the classes.
func (c *Collector) collectClasses(ch chan<- prometheus.Metric) {
	byName := map[string]*relay.ClassCounts{}
	var order []string
	for _, front := range c.fronts {
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
		counter(c.established, sum.Established, name)
		counter(c.rejected, sum.Rejected, name)
		counter(c.failed, sum.Failed, name)
		counter(c.attempts, sum.Attempts, name)
	}
}

// className returns the name of a class, "unknown" for a number that the front has no name for.
func (f Front) className(class int) string {
	if class < len(f.Classes) {
		return f.Classes[class]
	}
	return "unknown"
}

// collectTotals sends the gauges of requests and servers.
func (c *Collector) collectTotals(ch chan<- prometheus.Metric) {
	open, listed, ejected := 0, 0, 0
	for _, front := range c.fronts {
		open += front.Source.OpenRequests()
		endpoints := front.Source.EndpointCounts()
		listed += endpoints.Listed
		ejected += endpoints.EjectedManually + endpoints.Ejected + endpoints.Withheld
	}
	gauge := func(desc *prometheus.Desc, value int) {
		ch <- prometheus.MustNewConstMetric(desc, prometheus.GaugeValue, float64(value))
	}
	gauge(c.openRequests, open)
	gauge(c.listedServers, listed)
	gauge(c.ejectedServers, min(ejected, listed))
}

// collectGuard sends the metrics of the guards, added up over the fronts; the endpoint list's age is the
// greatest.
func (c *Collector) collectGuard(ch chan<- prometheus.Metric) {
	age, lapsed := 0.0, 0.0
	sums := map[*prometheus.Desc]map[string]float64{c.denials: {}, c.rejections: {}, c.violations: {}}
	for _, fr := range c.fronts {
		stats := fr.Source.GuardStats()
		age = max(age, stats.EndpointListAge.Seconds())
		if stats.EndpointLeaseExpired {
			lapsed = 1
		}
		byDesc := map[*prometheus.Desc]map[string]uint64{
			c.denials:    stats.Denials,
			c.rejections: stats.Rejections,
			c.violations: stats.Violations,
		}
		for desc, counts := range byDesc {
			for label, n := range counts {
				sums[desc][label] += float64(n)
			}
		}
	}
	ch <- prometheus.MustNewConstMetric(c.endpointListAge, prometheus.GaugeValue, age)
	ch <- prometheus.MustNewConstMetric(c.endpointLeaseExpired, prometheus.GaugeValue, lapsed)
	for desc, counts := range sums {
		for label, n := range counts {
			ch <- prometheus.MustNewConstMetric(desc, prometheus.CounterValue, n, label)
		}
	}
}
