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
	replyTimeout = 5 * time.Second // for the first reply; events may take any time
)

// QueryTimelines asks a running relay.
func QueryTimelines(path string, q report.Query) ([]*report.Report, error) {
	q.Follow = false
	var got []*report.Report
	err := ask(path, q, func(r reply) bool { got = r.Reports; return false })
	return got, err
}

// QueryFleet asks a running relay what it knows of the others, and of the fleet's cells: nil where there are
// none.
func QueryFleet(path string) (*membership.Report, *cells.Report, error) {
	got, err := askFleet(path, question{Fleet: true})
	return got.Fleet, got.Cells, err
}

// QueryProbing asks a running relay what it knows of the others, and of the fleet's shared probing: nil where it
// takes no part.
func QueryProbing(path string) (*membership.Report, *probing.Report, error) {
	got, err := askFleet(path, question{Fleet: true, Probing: true})
	return got.Fleet, got.Probing, err
}

func askFleet(path string, q question) (got reply, err error) {
	err = ask(path, q, func(r reply) bool { got = r; return false })
	if err == nil && got.Fleet == nil {
		err = errors.New("the relay's answer: nothing of the fleet")
	}
	return got, err
}

// Follow asks and goes on with events, until fn returns false or the relay ends.
func Follow(path string, q report.Query, begin func([]*report.Report), fn func(anomaly.Event) bool) error {
	q.Follow = true
	return ask(path, q, func(r reply) bool {
		if r.Event != nil {
			return fn(*r.Event)
		}
		begin(r.Reports)
		return true
	})
}

// ask sends a question and gives each reply to fn, until fn returns false.
func ask(path string, q any, fn func(reply) bool) error {
	conn, err := net.DialTimeout("unix", path, dialTimeout)
	if err != nil {
		return fmt.Errorf("no relay answers: %w", err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(replyTimeout))
	if err := json.NewEncoder(conn).Encode(q); err != nil {
		return err
	}
	for in := json.NewDecoder(conn); ; {
		var r reply
		if err := in.Decode(&r); err != nil {
			return fmt.Errorf("the relay's answer: %w", err)
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
