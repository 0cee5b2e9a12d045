package xmpp

import (
	"encoding/xml"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"capersail/decide"
)

const (
	alert         = "<message type='headline'><body>storm</body></message>"
	alertInterval = 100 * time.Millisecond // more often than pings would be due
	stormLength   = 40 * time.Second
)

// answerQueries makes a server answer the relay's pings and the client's queries after a delay, while
// it reads on.
func (p *pipedStream) answerQueries(delay time.Duration) {
	p.server.readAll(func(e xml.StartElement) {
		if e.Name.Local == "iq" {
			time.AfterFunc(delay, func() { p.server.answer(e) })
		}
	})
}

// answer answers an iq.
func (p *peer) answer(e xml.StartElement) {
	p.send("<iq type='result' id='%s'/>", elementAttribute(e, "id"))
}

func (p *pipedStream) pushAlerts() {
	p.server.sendEvery(alertInterval, int(stormLength/alertInterval), func(int) string { return alert })
}

func message(i int) string { return fmt.Sprintf("<message id='c%d'/>", i) }
func query(i int) string   { return fmt.Sprintf("<iq type='get' id='q%d'/>", i) }

// While a server pushed alerts, no ping was sent, since each alert counted as a sign of life. Nothing was
// confirmed, and from the 64th stanza on all that the client sent was held back until the alerts paused.
func TestStanzasAreForwardedWhileServerPushes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPipedStream(t)
		defer p.close()
		p.answerQueries(0)
		p.client.readAll(nil)
		p.pushAlerts()
		const interval = 200 * time.Millisecond
		count := int(stormLength / interval)
		p.client.sendEvery(interval, count, message)
		for i := range count {
			pass(interval)
			if got := p.server.count("message", "", ""); got < i+1 {
				t.Fatalf("%v after the start the server has %d stanzas of the client, want %d",
					time.Since(p.began), got, i+1)
			}
		}
		if got := p.client.count("", "error", ""); got != 0 {
			t.Errorf("client got %d of its stanzas back, want none", got)
		}
	})
}

// A prompt server confirms a burst of stanzas before forwarding has to pause, also over 64 within a second.
func TestBurstIsNotHeldBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPipedStream(t)
		defer p.close()
		p.answerQueries(time.Millisecond)
		p.client.readAll(nil)
		p.client.sendEvery(0, 300, message)
		pass(20 * time.Millisecond)
		if got := p.server.count("message", "", ""); got != 300 {
			t.Errorf("20 ms after a burst the server has %d stanzas of it, want 300", got)
		}
	})
}

// A server that goes on talking and confirms nothing must count as lost at the silence timeout, neither later
// nor never: what its client has sent must be returned.
func TestServerThatOnlyTalksIsLost(t *testing.T) {
	for name, alerts := range map[string]bool{"talks": true, "is silent": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newPipedStream(t)
				defer p.close()
				p.server.readAll(nil)
				p.client.readAll(nil)
				if alerts {
					p.pushAlerts()
				}
				p.client.sendEvery(0, 3, message)
				pass(testSilenceTimeout - time.Millisecond)
				if pings := p.server.count("iq", "get", ""); p.client.hasEnded() || pings != 1 {
					t.Errorf("before the silence timeout: stream ended %v, %d pings, want false and 1",
						p.client.hasEnded(), pings)
				}
				pass(alertInterval)
				p.checkEnded(decide.Reset)
				returned := p.client.count("message", "error", "")
				conditions := p.client.count("error", "", "")
				if !p.client.hasEnded() || returned != 3 || conditions != 1 {
					t.Errorf("after the silence timeout: stream ended %v, %d stanzas returned, "+
						"%d stream errors; want true, 3, 1", p.client.hasEnded(), returned, conditions)
				}
			})
		})
	}
}

// A server that answers each ping late is alive: what counts is when it last confirmed something, not how old
// the oldest stanza is.
func TestSlowServerIsNotLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPipedStream(t)
		defer p.close()
		p.answerQueries(3 * time.Second)
		p.client.readAll(nil)
		p.pushAlerts()
		p.client.sendEvery(alertInterval, 200, message)
		pass(stormLength)
		if got := p.server.count("message", "", ""); p.client.hasEnded() || got != 200 {
			t.Errorf("stream ended %v, %d of 200 stanzas at the server; want it open with all",
				p.client.hasEnded(), got)
		}
	})
}

// The answer to a ping may wait behind alerts that a slow client has not read. The server is not silent then,
// and must not lose the stream.
func TestSlowClientDoesNotMakeServerLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPipedStream(t)
		defer p.close()
		p.server.readAll(func(e xml.StartElement) {
			if isPing(e) { // ten alerts were sent before the answer
				p.server.send("%s", strings.Repeat(alert, 10))
				p.server.answer(e)
			}
		})
		p.client.readAll(func(xml.StartElement) { <-time.After(900 * time.Millisecond) })
		p.client.sendEvery(2*time.Second, 10, message)
		pass(stormLength)
		if p.client.hasEnded() {
			t.Errorf("the stream of a slow client has ended, it got %d elements", p.client.count("", "", ""))
		}
	})
}

// When a server is lost after a storm of alerts, what it has answered must not come back as undelivered: the
// client would have two answers to one query. What it has not answered must come back.
func TestAnsweredStanzasAreNotReturned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPipedStream(t)
		defer p.close()
		const unanswered = "q40"
		p.server.readAll(func(e xml.StartElement) {
			if e.Name.Local == "iq" && elementAttribute(e, "id") != unanswered {
				p.server.answer(e)
			}
		})
		p.client.readAll(nil)
		p.pushAlerts()
		p.client.sendEvery(alertInterval, 41, query)
		pass(41 * alertInterval)
		p.server.conn.Close()
		synctest.Wait()
		p.checkEnded(decide.Reset)
		if got := p.client.count("iq", "result", ""); got != 40 {
			t.Errorf("client got %d answers, want 40", got)
		}
		all, last := p.client.count("iq", "error", ""), p.client.count("iq", "error", unanswered)
		if all != 1 || last != 1 {
			t.Errorf("client got %d queries back, %d times the unanswered one; want 1 and 1", all, last)
		}
	})
}

// A ping that was sent a moment ago does not make its server silent. When the client was migrated just then,
// all that it had sent came back as undelivered, though the server had processed it.
func TestMigrationDuringPingReturnsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPipedStream(t)
		defer p.close()
		p.server.readAll(func(e xml.StartElement) {
			if isPing(e) {
				p.request.MigrateClient()
			}
		})
		p.client.readAll(nil)
		p.client.sendEvery(0, 3, message)
		pass(testSilenceTimeout / 2)
		p.checkEnded(decide.Cancelled)
		returned, conditions := p.client.count("message", "error", ""), p.client.count("error", "", "")
		if returned != 0 || conditions != 1 {
			t.Errorf("client got %d stanzas back and %d stream errors, want 0 and 1", returned, conditions)
		}
	})
}

// A migration that begins while a stanza of the server is being read must not drop that stanza.
func TestMigrationDropsNoStanza(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPipedStream(t)
		defer p.close()
		p.server.readAll(nil)
		p.server.send("%s", strings.Repeat(alert, 3)) // read at once, and the first is being written
		synctest.Wait()
		p.request.MigrateClient()
		p.client.readAll(nil)
		synctest.Wait()
		p.checkEnded(decide.Cancelled)
		if got := p.client.count("message", "headline", ""); got != 3 {
			t.Errorf("client got %d of 3 stanzas that were read before its migration, want all", got)
		}
	})
}
