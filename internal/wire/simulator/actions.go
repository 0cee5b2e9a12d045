package simulator

import (
	"encoding/base64"
	"fmt"
	"strconv"
	"time"

	"capersail/decide"
)

// writeAction writes what the module wants, and notes what it means for the requests that are tracked.
func (h *Hub) writeAction(from *instance, action decide.Action) {
	w, number := &h.reply, from.number
	switch a := action.(type) {
	case decide.Forward:
		w.beginAction(actionForward, number)
		w.text(from.requestName(a.ID))
		w.duration(a.Timeout)
		w.text(h.serverName(from, a.Server))
		from.byID[a.ID].openAttempts++
	case decide.Reject:
		w.beginAction(actionReject, number)
		w.text(from.requestName(a.ID))
		w.duration(a.RetryAfter)
		from.finish(a.ID)
	case decide.Fail:
		w.beginAction(actionFail, number)
		w.text(from.requestName(a.ID))
		from.finish(a.ID)
	case decide.Migrate:
		w.beginAction(actionMigrate, number)
		w.text(from.requestName(a.ID))
		from.finish(a.ID)
	case decide.CancelAttempt:
		w.beginAction(actionCancelAttempt, number)
		w.text(from.requestName(a.ID))
		w.unsigned(uint64(a.Attempt))
	case decide.Probe:
		w.beginAction(actionProbe, number)
		w.text(h.serverName(from, a.Server))
	case decide.CloseIdleConnections:
		w.beginAction(actionCloseIdle, number)
		w.text(h.serverName(from, a.Server))
	default:
		h.writeOwnAction(from, action)
	}
	w.endAction()
}

// writeOwnAction writes an action that concerns no request and no server.
func (h *Hub) writeOwnAction(from *instance, action decide.Action) {
	w, number := &h.reply, from.number
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
		panic(fmt.Sprintf("no wire for %T", action))
	}
}

// replyWriter builds a reply. It keeps its buffer from one to the next.
type replyWriter struct {
	buffer []byte
	some   bool // an action has been written
}

func (w *replyWriter) begin() {
	w.buffer = append(w.buffer[:0], `{"actions":[`...)
	w.some = false
}

// end is the whole reply, valid until the next begin.
func (w *replyWriter) end() []byte {
	w.buffer = append(w.buffer, "]}\n"...)
	return w.buffer
}

// beginAction begins an action of an instance; its values follow, then endAction.
func (w *replyWriter) beginAction(kind actionKind, instance int) {
	if w.some {
		w.buffer = append(w.buffer, ',')
	}
	w.some = true
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

// duration writes milliseconds, rounded up to the simulator's microseconds, so that no timer comes early.
func (w *replyWriter) duration(d time.Duration) {
	us := (d + time.Microsecond - 1) / time.Microsecond
	w.buffer = strconv.AppendFloat(append(w.buffer, ','), float64(us)/1000, 'f', -1, 64)
}

// text writes a string. Names from the wire hardly ever need escapes.
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
