package simulator

import (
	"encoding/base64"
	"fmt"
	"strconv"
	"time"

	"capersail/decide"
)

// writeAction writes one action of the decision module and updates the requests that are tracked.
func (h *Hub) writeAction(inst *instance, action decide.Action) {
	w, number := &h.reply, inst.number
	switch a := action.(type) {
	case decide.Forward:
		w.beginAction(actionForward, number)
		w.text(inst.requestName(a.ID))
		w.duration(a.Timeout)
		w.text(h.serverName(inst, a.Server))
		inst.byID[a.ID].openAttempts++
	case decide.Reject:
		w.beginAction(actionReject, number)
		w.text(inst.requestName(a.ID))
		w.duration(a.RetryAfter)
		inst.finish(a.ID)
	case decide.Fail:
		w.beginAction(actionFail, number)
		w.text(inst.requestName(a.ID))
		inst.finish(a.ID)
	case decide.Migrate:
		w.beginAction(actionMigrate, number)
		w.text(inst.requestName(a.ID))
		inst.finish(a.ID)
	case decide.CancelAttempt:
		w.beginAction(actionCancelAttempt, number)
		w.text(inst.requestName(a.ID))
		w.unsigned(uint64(a.Attempt))
	case decide.Probe:
		w.beginAction(actionProbe, number)
		w.text(h.serverName(inst, a.Server))
	case decide.CloseIdleConnections:
		w.beginAction(actionCloseIdle, number)
		w.text(h.serverName(inst, a.Server))
	default:
		h.writeInstanceAction(inst, action)
	}
	w.endAction()
}

// writeInstanceAction writes an action that concerns neither a request nor a server.
func (h *Hub) writeInstanceAction(inst *instance, action decide.Action) {
	w, number := &h.reply, inst.number
	switch a := action.(type) {
	case decide.Timer:
		w.beginAction(actionTimer, number)
		w.duration(a.After)
		w.unsigned(a.Token)
	case decide.Subscribe:
		w.beginAction(actionSubscribe, number)
		w.boolean(true)
	case decide.FetchSnapshot:
		w.beginAction(actionFetchSnapshot, number)
	case decide.SendToPeer:
		w.beginAction(actionSendToPeer, number)
		if a.Peer < 0 {
			w.text(allPeers)
		} else {
			w.unsigned(uint64(a.Peer))
		}
		w.text(base64.StdEncoding.EncodeToString(a.Data))
	case decide.Log:
		w.beginAction(actionLog, number)
		w.text(a.Text)
	default:
		panic(fmt.Sprintf("action of type %T has no encoding in the simulator's protocol", action))
	}
}

// replyWriter builds replies. It reuses its buffer.
type replyWriter struct {
	buffer     []byte
	hasActions bool // an action has been written to the current reply
}

func (w *replyWriter) begin() {
	w.buffer = append(w.buffer[:0], `{"actions":[`...)
	w.hasActions = false
}

// end completes the reply and returns it; it is valid until the next begin.
func (w *replyWriter) end() []byte {
	w.buffer = append(w.buffer, "]}\n"...)
	return w.buffer
}

// beginAction starts an action of an instance. Its values are written next, then endAction completes it.
func (w *replyWriter) beginAction(kind actionKind, instance int) {
	if w.hasActions {
		w.buffer = append(w.buffer, ',')
	}
	w.hasActions = true
	w.buffer = append(w.buffer, '[', '"')
	w.buffer = append(w.buffer, kind...)
	w.buffer = append(w.buffer, '"')
	w.unsigned(uint64(instance))
}

func (w *replyWriter) endAction() { w.buffer = append(w.buffer, ']') }

func (w *replyWriter) unsigned(x uint64) {
	w.buffer = strconv.AppendUint(append(w.buffer, ','), x, 10)
}

func (w *replyWriter) boolean(x bool) {
	w.buffer = strconv.AppendBool(append(w.buffer, ','), x)
}

// duration writes a number of milliseconds, rounded up to the simulator's resolution of 1 µs, so that no
// timer fires early.
func (w *replyWriter) duration(d time.Duration) {
	us := (d + time.Microsecond - 1) / time.Microsecond
	w.buffer = strconv.AppendFloat(append(w.buffer, ','), float64(us)/1000, 'f', -1, 64)
}

// text writes a string. Names on the wire rarely need escapes.
func (w *replyWriter) text(s string) {
	w.buffer = append(w.buffer, ',', '"')
	for i := range len(s) {
		if c := s[i]; c < ' ' || c == '"' || c == '\\' {
			w.buffer = append(w.buffer, fmt.Sprintf(`\u%04x`, c)...)
		} else {
			w.buffer = append(w.buffer, c)
		}
	}
	w.buffer = append(w.buffer, '"')
}
