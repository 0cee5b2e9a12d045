package control

import (
	"encoding/json"
	"net"
	"time"

	"capersail/internal/fleet/cells"
	"capersail/internal/fleet/membership"
	"capersail/internal/fleet/probing"
	"capersail/internal/observe/anomaly"
	"capersail/internal/observe/report"
)

// query asks for the state of the fleet, or for timelines.
type query struct {
	Fleet   bool `json:"fleet,omitempty"`
	Probing bool `json:"looks,omitempty"`
	report.Query
}

// reply is one line of the server's answer.
type reply struct {
	Fleet   *membership.Report `json:"fleet,omitempty"`
	Cells   *cells.Report      `json:"cells,omitempty"`
	Probing *probing.Report    `json:"looks,omitempty"`
	Error   string             `json:"error,omitempty"`
	Reports []*report.Report   `json:"reports,omitempty"`
	Event   *anomaly.Event     `json:"event,omitempty"`
}

// replyWriter writes replies to a connection, each within writeTimeout.
type replyWriter struct{ net.Conn }

func (w replyWriter) send(r reply) error {
	w.SetWriteDeadline(time.Now().Add(writeTimeout))
	return json.NewEncoder(w.Conn).Encode(r)
}
