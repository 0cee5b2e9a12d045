package control

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"time"

	"capersail/internal/fleet/cells"
	"capersail/internal/fleet/membership"
	"capersail/internal/fleet/probing"
	"capersail/internal/observe/anomaly"
	"capersail/internal/observe/report"
)

const (
	dialTimeout  = time.Second
	replyTimeout = 5 * time.Second // for the first reply; there is no limit on the wait for events
)

// QueryTimelines returns the timelines of the relay whose control socket is at path.
func QueryTimelines(path string, q report.Query) ([]*report.Report, error) {
	q.Follow = false
	var got []*report.Report
	err := sendQuery(path, q, func(r reply) bool { got = r.Reports; return false })
	return got, err
}

// QueryFleet returns the relay's report on the fleet's members and its report on the fleet's cells, which is
// nil if there are no cells.
func QueryFleet(path string) (*membership.Report, *cells.Report, error) {
	got, err := sendFleetQuery(path, query{Fleet: true})
	return got.Fleet, got.Cells, err
}

// QueryProbing returns the relay's report on the fleet's members and its report on shared probing, which is
// nil if the relay does not share probes.
func QueryProbing(path string) (*membership.Report, *probing.Report, error) {
	got, err := sendFleetQuery(path, query{Fleet: true, Probing: true})
	return got.Fleet, got.Probing, err
}

func sendFleetQuery(path string, q query) (got reply, err error) {
	err = sendQuery(path, q, func(r reply) bool { got = r; return false })
	if err == nil && got.Fleet == nil {
		err = errors.New("the relay's reply has no report on the fleet")
	}
	return got, err
}

// Follow passes the timelines of a relay to begin, and then each new event to fn, until fn returns false or
// the relay closes the connection.
func Follow(path string, q report.Query, begin func([]*report.Report), fn func(anomaly.Event) bool) error {
	q.Follow = true
	return sendQuery(path, q, func(r reply) bool {
		if r.Event != nil {
			return fn(*r.Event)
		}
		begin(r.Reports)
		return true
	})
}

// sendQuery sends a query and passes each reply to fn, until fn returns false.
func sendQuery(path string, q any, fn func(reply) bool) error {
	conn, err := net.DialTimeout("unix", path, dialTimeout)
	if err != nil {
		return fmt.Errorf("no relay answers on the socket: %w", err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(replyTimeout))
	if err := json.NewEncoder(conn).Encode(q); err != nil {
		return err
	}
	for in := json.NewDecoder(conn); ; {
		var r reply
		if err := in.Decode(&r); err != nil {
			return fmt.Errorf("reading the relay's reply: %w", err)
		}
		if r.Error != "" {
			return errors.New(r.Error)
		}
		if !fn(r) {
			return nil
		}
		conn.SetDeadline(time.Time{})
	}
}
