package xmpp

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"capersail/decide"
	"capersail/internal/relay"
	"capersail/internal/wire/connlimit"
	"capersail/internal/wire/splice"
)

// Host is what the operator's file says of one host that clients name.
type Host struct {
	Class        decide.Class
	Tenant       decide.Tenant
	Key          uint64
	SetupTimeout time.Duration // until a stream must be established
}

// Frontend is the client side: it speaks with each client in a goroutine of its own.
type Frontend struct {
	Requests *relay.RequestTable
	Hosts    map[string]Host
	Limiter  *connlimit.Limiter
	// TLS is for new connections; nil only where the operator's file allows plaintext.
	TLS atomic.Pointer[tls.Config]
}

// Serve accepts until the listener is closed, which is no error. A goroutine serves each connection, and ends
// with it.
func (f *Frontend) Serve(l net.Listener) error { return f.Limiter.Serve(l, f.serveClient) }

// serveClient speaks with one client until its connection is closed, and that to its server too.
func (f *Frontend) serveClient(permit *connlimit.Permit) {
	half := permit.Conn
	st := newStream(half)
	half.SetReadDeadline(permit.RequestDeadline)
	reader, host, err := f.negotiate(st, permit.RequestDeadline)
	var request *relay.Request
	switch {
	case err != nil:
		f.Limiter.Log.Warn().
			Err(err).
			Str("to", st.host).
			Msg("client stream rejected before a request was opened")
	case !permit.AcquireRequest():
		f.Requests.RecordConnLimitRejection(host.Class)
		st.sendOutcome(resourceConstraint, encodeRetryAfter(connlimit.RetryAfter))
	default:
		half.SetReadDeadline(0)
		request = f.Requests.Open(relay.RequestParams{
			Class:   host.Class,
			Tenant:  host.Tenant,
			Key:     host.Key,
			Timeout: host.SetupTimeout,
			Payload: st,
		}, clientHalf{half, st})
		f.forwardFromClient(request, st, reader)
	}
	permit.CloseAndRelease(request)
}

// negotiate takes the client's start tag, after STARTTLS where there is a certificate; all of it until an
// instant that no step renews. Its errors are a streamError and those of the connection.
func (f *Frontend) negotiate(st *stream, until time.Duration) (*itemReader, Host, error) {
	reader := newItemReader(st.client.NetConn)
	host, err := f.readHeader(st, reader)
	config := f.TLS.Load()
	if err != nil || config == nil {
		return reader, host, err
	}
	st.write([]byte(xmlDeclaration + encodeHeader(st.host) + requireTLS))
	it, err := reader.readItem()
	if err != nil || it.name != "starttls" || !reader.drained() { // bytes before the handshake are nobody's
		st.sendOutcome(policyViolation, "")
		return reader, host, fmt.Errorf("no STARTTLS but %q: %w", it.name, err)
	}
	if err := st.write([]byte(proceedTLS)); err != nil {
		return reader, host, err
	}
	secure := tls.Server(st.client.NetConn, config)
	ctx, stop := context.WithTimeout(context.Background(), until-f.Requests.Clock.Now())
	defer stop()
	if err := secure.HandshakeContext(ctx); err != nil {
		return reader, host, fmt.Errorf("TLS: %w", err)
	}
	st.client.Attach(secure)
	st.headerSent = false // the client begins a new stream, and is owed a new start tag
	st.client.SetReadDeadline(until)
	reader = newItemReader(secure)
	host, err = f.readHeader(st, reader)
	return reader, host, err
}

// readHeader takes one start tag and finds its host.
func (f *Frontend) readHeader(st *stream, reader *itemReader) (Host, error) {
	it, err := reader.readItem()
	wrong := noCondition
	switch {
	case err != nil:
		if wrong = conditionOf(err); wrong == noCondition {
			return Host{}, err
		}
	case it.kind != streamHeader || it.name != "stream:stream":
		wrong = badFormat
	case it.attrs["xmlns:stream"] != streamsNamespace || it.attrs["xmlns"] != clientNamespace:
		wrong = invalidNamespace
	case it.attrs["version"] != "1.0":
		wrong = unsupportedVersion
	}
	st.clientHeader, st.host = it, it.attrs["to"]
	host, known := f.Hosts[st.host]
	if wrong == noCondition && !known {
		wrong = hostUnknown
	}
	if wrong != noCondition {
		st.sendOutcome(wrong, "")
		return host, &streamError{wrong}
	}
	return host, nil
}

// forwardFromClient reads the client until its end, and queues what it sends for the server side.
func (f *Frontend) forwardFromClient(request *relay.Request, st *stream, reader *itemReader) {
	defer st.markEnded()
	for {
		it, err := reader.readItem()
		switch {
		case err == nil:
			if !st.push(it) {
				_, answer := request.State()
				writeAnswer(st, answer)
				return
			}
			request.WakeServerSide()
		case splice.TimedOut(err):
			st.client.ClearWake()
			if state, answer := request.State(); state == relay.Ended || st.client.Closed() {
				writeAnswer(st, answer)
				return
			}
			st.client.SetReadDeadline(0)
		case conditionOf(err) != noCondition:
			f.Limiter.Log.Warn().Err(err).Str("to", st.host).Msg("malformed client stanza; stream ended")
			st.sendOutcome(conditionOf(err), "")
			request.ClientClosed(relay.GracefulClose)
			return
		default:
			forwardClientClose(request, st, splice.CloseKindOf(err))
			return
		}
	}
}

// forwardClientClose ends the request of a client that has closed its connection. After a graceful close
// there may be stanzas in the queue: they are forwarded first.
func forwardClientClose(request *relay.Request, st *stream, how relay.CloseKind) {
	state, _ := request.State()
	if how == relay.GracefulClose && state == relay.Established {
		if st.push(item{kind: streamEnd, raw: []byte(streamEndTag)}) {
			request.WakeServerSide()
			st.awaitEnd()
		}
	}
	request.ClientClosed(how)
}

// writeAnswer writes the final answer of a stream that was not established; nothing if it was.
func writeAnswer(st *stream, answer relay.Answer) {
	switch answer.Kind {
	case relay.Rejected:
		st.sendOutcome(resourceConstraint, encodeRetryAfter(answer.RetryAfter))
	case relay.Failed:
		set := st.streamCondition()
		switch {
		case set != noCondition:
			st.sendOutcome(set, "")
		case answer.Cause == decide.TimedOut:
			st.sendOutcome(connectionTimeout, "")
		default:
			st.sendOutcome(remoteConnectionFailed, "")
		}
	}
}
