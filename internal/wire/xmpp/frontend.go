package xmpp

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"capersail/decide"
	"capersail/internal/relay"
	"capersail/internal/wire/connlimit"
	"capersail/internal/wire/splice"
)

// connLimitRetryAfter is when a client comes again that the limit on connections has rejected.
const connLimitRetryAfter = 500 * time.Millisecond

// Host is what the operator's file says of one `to`.
type Host struct {
	Class        decide.Class
	Tenant       decide.Tenant
	Key          uint64
	SetupTimeout time.Duration // until a stream must be up
}

// Frontend is the client side.
type Frontend struct {
	Requests *relay.RequestTable
	Hosts    map[string]Host
	TLS      atomic.Pointer[tls.Config] // for new connections; nil only where the operator's file allows plaintext
	Limiter  *connlimit.Limiter
}

// Serve accepts until the listener is closed.
func (f *Frontend) Serve(l net.Listener) error { return f.Limiter.Serve(l, f.serveClient) }

// serveClient speaks with one client until its connection is closed, and that to its server too.
func (f *Frontend) serveClient(p *connlimit.Permit) {
	e := p.Half
	st := newStream(e)
	e.SetReadUntil(p.RequestUntil)
	r, host, err := f.negotiate(e, st, p.RequestUntil)
	var call *relay.Request
	switch {
	case err != nil:
		f.Limiter.Log.Warn().Err(err).Str("to", st.host).Msg("stream refused before it was placed")
	case !p.AcquireRequest():
		f.Requests.RecordConnLimitRejection(host.Class)
		st.sendOutcome("resource-constraint", encodeRetryAfter(connLimitRetryAfter))
	default:
		e.SetReadUntil(0)
		call = f.Requests.Open(relay.OpenRequest{Class: host.Class, Tenant: host.Tenant, Key: host.Key, Timeout: host.SetupTimeout, Payload: st}, clientHalf{e, st})
		f.forwardFromClient(call, st, r)
	}
	p.CloseAndRelease(call)
}

// negotiate takes the client's start tag, after STARTTLS where there is a certificate; all of it by a time that
// no step renews.
func (f *Frontend) negotiate(e *splice.Half, st *stream, until time.Duration) (*itemReader, Host, error) {
	r := newItemReader(e.Conn)
	host, err := f.readHeader(st, r)
	config := f.TLS.Load()
	if err != nil || config == nil {
		return r, host, err
	}
	st.write([]byte("<?xml version='1.0'?>" + encodeHeader(st.host) +
		"<stream:features><starttls xmlns='" + tlsNamespace + "'><required/></starttls></stream:features>"))
	it, err := r.readItem()
	if err != nil || it.name != "starttls" || !r.drained() { // bytes before the handshake are nobody's
		st.sendOutcome("policy-violation", "")
		return r, host, fmt.Errorf("no STARTTLS but %q: %w", it.name, err)
	}
	if err := st.write([]byte("<proceed xmlns='" + tlsNamespace + "'/>")); err != nil {
		return r, host, err
	}
	secure := tls.Server(e.Conn, config)
	ctx, stop := context.WithTimeout(context.Background(), until-f.Requests.Clock.Now())
	defer stop()
	if err := secure.HandshakeContext(ctx); err != nil {
		return r, host, fmt.Errorf("TLS: %w", err)
	}
	e.Attach(secure)
	st.headerSent = false // the client begins a new stream, and is owed a new start tag
	e.SetReadUntil(until)
	r = newItemReader(secure)
	host, err = f.readHeader(st, r)
	return r, host, err
}

// readHeader takes one readHeader tag and finds its host.
func (f *Frontend) readHeader(st *stream, r *itemReader) (Host, error) {
	it, err := r.readItem()
	condition := ""
	switch {
	case err != nil && isScanError(err):
		condition = err.Error()
	case err != nil:
		return Host{}, err
	case it.kind != streamHeader || it.name != "stream:stream":
		condition = "bad-format"
	case it.attrs["xmlns:stream"] != streamsNamespace || it.attrs["xmlns"] != "jabber:client":
		condition = "invalid-namespace"
	case it.attrs["version"] != "1.0":
		condition = "unsupported-version"
	}
	st.clientHeader, st.host = it, it.attrs["to"]
	host, known := f.Hosts[st.host]
	if condition == "" && !known {
		condition = "host-unknown"
	}
	if condition != "" {
		st.sendOutcome(condition, "")
		return host, errors.New(condition)
	}
	return host, nil
}

// forwardFromClient reads the client until its end, and queues what it sends for the server side.
func (f *Frontend) forwardFromClient(call *relay.Request, st *stream, r *itemReader) {
	defer st.markEnded()
	for {
		it, err := r.readItem()
		switch {
		case err == nil:
			if !st.push(it) {
				_, answer := call.State()
				f.writeAnswer(st, answer)
				return
			}
			call.WakeServerSide()
		case splice.TimedOut(err):
			st.client.ClearWake()
			if state, answer := call.State(); state == relay.Ended || st.client.Closed() {
				f.writeAnswer(st, answer)
				return
			}
			st.client.SetReadUntil(0)
		case isScanError(err):
			f.Limiter.Log.Warn().Err(err).Str("to", st.host).Msg("stream ended for what its client sent")
			st.sendOutcome(err.Error(), "")
			call.ClientClosed(relay.GracefulClose)
			return
		default:
			// A client that ends its connection in order may have stanzas in the queue: they go out first.
			state, _ := call.State()
			if splice.EndingOf(err) == relay.GracefulClose && state == relay.Established && st.push(item{kind: streamEnd, raw: []byte("</stream:stream>")}) {
				call.WakeServerSide()
				st.awaitEnd()
			}
			call.ClientClosed(splice.EndingOf(err))
			return
		}
	}
}

// writeAnswer tells the client the final writeAnswer of a stream that did not come up.
func (f *Frontend) writeAnswer(st *stream, a relay.Answer) {
	switch a.Kind {
	case relay.Rejected:
		st.sendOutcome("resource-constraint", encodeRetryAfter(a.RetryAfter))
	case relay.Failed:
		switch {
		case st.streamCondition() != "":
			st.sendOutcome(st.streamCondition(), "")
		case a.Cause == decide.TimedOut:
			st.sendOutcome("connection-timeout", "")
		default:
			st.sendOutcome("remote-connection-failed", "")
		}
	}
}
