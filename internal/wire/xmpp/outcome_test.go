package xmpp

import (
	"encoding/xml"
	"testing"
	"testing/synctest"

	"capersail/decide"
)

const (
	serverFeatures = "<stream:features><mechanisms xmlns='urn:ietf:params:xml:ns:xmpp-sasl'/></stream:features>"
	// drainError is a server's stream error. Its id tells it from errors of the relay.
	drainError = "<stream:error id='drain'><system-shutdown xmlns='" + errorsNamespace + "'/></stream:error>"
	saslAuth   = "<auth xmlns='urn:ietf:params:xml:ns:xmpp-sasl' mechanism='PLAIN'>AGEAYg==</auth>"
	saslReject = "<failure xmlns='urn:ietf:params:xml:ns:xmpp-sasl'><not-authorized/></failure>"
)

// A server that ends a stream during SASL has given the client its outcome. The relay added a stream error of
// its own behind it, so that the client had two that contradicted each other.
func TestStreamEndedDuringSASLHasOneOutcome(t *testing.T) {
	for name, test := range map[string]struct {
		answer       string // of the server to the client's authentication
		serverErrors int    // of the server that the client must get
		errors       int    // of any origin
		status       decide.Status
	}{
		"stream error":          {drainError + streamEndTag, 1, 1, decide.Cancelled},
		"failure, end tag":      {saslReject + streamEndTag, 0, 0, decide.Cancelled},
		"failure, stream error": {saslReject + drainError + streamEndTag, 1, 1, decide.Cancelled},
		"end tag alone":         {streamEndTag, 0, 1, decide.Reset},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newPipedHandshake(t)
				defer p.close()
				p.client.readAll(func(e xml.StartElement) {
					if e.Name.Local == "features" {
						p.client.send(saslAuth)
					}
				})
				p.server.readAll(func(e xml.StartElement) {
					if e.Name.Local == "auth" {
						p.server.send("%s", test.answer)
					}
				})
				p.server.send("%s", encodeHeader("s")+serverFeatures)
				synctest.Wait()
				p.checkEnded(test.status)
				fromServer, all := p.client.count("error", "", "drain"), p.client.count("error", "", "")
				if !p.client.hasEnded() || fromServer != test.serverErrors || all != test.errors {
					t.Errorf("client's stream ended %v with %d stream errors, %d of them the server's; "+
						"want true, %d, %d", p.client.hasEnded(), all, fromServer, test.errors, test.serverErrors)
				}
			})
		})
	}
}

// A server that ends a stream before the client has sent any SASL has run nothing. The stream may be opened
// at another server, so the client must not get the server's error.
func TestStreamEndedBeforeSASLMayBeRetried(t *testing.T) {
	for name, ending := range map[string]string{"stream error": drainError, "end tag": streamEndTag} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newPipedHandshake(t)
				defer p.close()
				p.client.readAll(nil)
				p.server.readAll(nil)
				p.server.send("%s", encodeHeader("s")+serverFeatures+ending)
				synctest.Wait()
				p.checkEnded(decide.ConnectFailed)
				if got := p.client.count("error", "", "drain"); got != 0 {
					t.Errorf("client got %d stream errors of a server that may be replaced, want none", got)
				}
			})
		})
	}
}

// Nothing may follow the stream error of a server: a client stops reading there. Stanzas that the server has
// not got were returned behind it.
func TestStanzasAreReturnedBeforeStreamError(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPipedStream(t)
		defer p.close()
		p.client.readAll(nil)
		p.server.readAll(nil)
		p.client.sendEvery(0, maxQueuedItems+10, message) // the server confirms nothing: 10 stay queued
		synctest.Wait()
		p.server.send("%s", drainError+streamEndTag)
		synctest.Wait()
		p.checkEnded(decide.Cancelled)
		p.client.mu.Lock()
		defer p.client.mu.Unlock()
		last := len(p.client.received) - 1
		for i, e := range p.client.received {
			if isError := e.Name.Local == "error"; isError != (i == last) {
				t.Errorf("element %d of %d is %q, want the stream error last", i, last+1, e.Name.Local)
			}
		}
		if last != 10 {
			t.Errorf("client got %d elements, want 10 returned stanzas and the stream error", last+1)
		}
	})
}
