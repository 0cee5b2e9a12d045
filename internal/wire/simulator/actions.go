package simulator

import (
	"encoding/base64"
	"fmt"
	"strconv"
	"time"

	"capersail/decide"
)

func (h *Hub) writeAction(n *instance, a decide.Action) {
	name := func(id decide.RequestID) string {
		if j := n.byID[id]; j != nil {
			return j.name
		}
		return ""
	}
	over := func(id decide.RequestID) {
		if j := n.byID[id]; j != nil {
			j.finished = true
		}
		n.forgetFinished(id)
	}
	switch a := a.(type) {
	case decide.Forward:
		h.beginAction("callOut", n.number)
		h.writeString(name(a.ID))
		h.writeMillis(a.Timeout)
		h.writeString(h.serverNames[n.global[a.Server]])
		n.byID[a.ID].openAttempts++
	case decide.Reject:
		h.beginAction("overloadReply", n.number)
		h.writeString(name(a.ID))
		h.writeMillis(a.RetryAfter)
		over(a.ID)
	case decide.Fail:
		h.beginAction("respondError", n.number)
		h.writeString(name(a.ID))
		over(a.ID)
	case decide.Migrate:
		h.beginAction("redirect", n.number)
		h.writeString(name(a.ID))
		over(a.ID)
	case decide.CancelAttempt:
		h.beginAction("recall", n.number)
		h.writeString(name(a.ID))
		h.writeUint(uint64(a.Attempt))
	case decide.Probe:
		h.beginAction("check", n.number)
		h.writeString(h.serverNames[n.global[a.Server]])
	case decide.CloseIdleConnections:
		h.beginAction("shutIdle", n.number)
		h.writeString(h.serverNames[n.global[a.Server]])
	case decide.Timer:
		h.beginAction("notifyMe", n.number)
		h.writeMillis(a.After)
		h.writeUint(a.Token)
	case decide.Subscribe:
		h.beginAction("observe", n.number)
		h.reply = append(h.reply, ",true"...)
	case decide.FetchSnapshot:
		h.beginAction("readList", n.number)
	case decide.SendToPeer:
		h.beginAction("announce", n.number)
		if a.Peer < 0 {
			h.writeString("all")
		} else {
			h.writeUint(uint64(a.Peer))
		}
		h.writeString(base64.StdEncoding.EncodeToString(a.Data))
	case decide.Log:
		h.beginAction("print", n.number)
		h.writeString(a.Text)
	default:
		panic(fmt.Sprintf("no wire for %T", a))
	}
	h.reply = append(h.reply, ']')
}

func (h *Hub) beginAction(kind string, who int) {
	if !h.firstAction {
		h.reply = append(h.reply, ',')
	}
	h.firstAction = false
	h.reply = append(h.reply, '[', '"')
	h.reply = append(h.reply, kind...)
	h.reply = append(h.reply, '"')
	h.writeUint(uint64(who))
}

func (h *Hub) writeUint(x uint64) { h.reply = strconv.AppendUint(append(h.reply, ','), x, 10) }

// writeMillis writes a duration rounded up to the bench's microseconds, so that no timer comes early.
func (h *Hub) writeMillis(d time.Duration) {
	us := (d + time.Microsecond - 1) / time.Microsecond
	h.reply = strconv.AppendFloat(append(h.reply, ','), float64(us)/1000, 'f', -1, 64)
}

func (h *Hub) writeString(s string) {
	h.reply = append(h.reply, ',', '"')
	for i := range len(s) {
		if c := s[i]; c < ' ' || c == '"' || c == '\\' { // names from the wire hardly ever need this
			h.reply = append(h.reply, fmt.Sprintf(`\u%04x`, c)...)
		} else {
			h.reply = append(h.reply, c)
		}
	}
	h.reply = append(h.reply, '"')
}
