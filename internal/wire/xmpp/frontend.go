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

// Host is the configuration of one host that clients may name, from the operator's file.
type Host struct {
	Class        decide.Class
	Tenant       decide.Tenant
	Key          uint64
	SetupTimeout time.Duration // limit for establishing a stream
}

// Frontend is the client side of the protocol. It serves each client in a separate goroutine.
type Frontend struct {
	Requests *relay.RequestTable
	Hosts    map[string]Host
	Limiter  *connlimit.Limiter
	// TLS is the configuration for new connections. It is nil only if the operator's file allows plaintext.
	TLS atomic.Pointer[tls.Config]
}

// Serve accepts connections until the listener is closed, which is not an error. Each connection is served by
// a goroutine that ends with the connection.
func (f *Frontend) Serve(l net.Listener) error { return f.Limiter.Serve(l, f.serveClient) }

// serveClient serves one client until its connection and the one to its server are closed.
func (f *Frontend) serveClient(permit *connlimit.Permit) {
	half := permit.Conn
	st := newStream(half, permit.Buffers)
	half.SetReadDeadline(permit.RequestDeadline)
	reader, host, err := f.negotiate(permit, st)
	var request *relay.Request
	switch {
	case err != nil:
		f.Limiter.Log.Warn().
			Err(err).
			Str("to", st.host).
			Msg("client stream rejected before a request was opened; check the client's host name and TLS")
	case !permit.AcquireRequest():
		f.Requests.RecordConnLimitRejection(host.Class)
		st.sendOutcome(resourceConstraint, encodeRetryAfter(connlimit.RetryAfter))
	default:
		half.SetReadDeadline(0)
		reader.scanner.maxBytes = maxItemBytes
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

// negotiate reads the client's start tag, after STARTTLS if TLS is configured, until the permit's deadline.
// The error is a streamError or an error of the connection.
func (f *Frontend) negotiate(permit *connlimit.Permit, st *stream) (*itemReader, Host, error) {
	reader := newClientReader(permit, permit.Conn.NetConn)
	host, err := f.readHeader(st, reader)
	config := f.TLS.Load()
	if err != nil || config == nil {
		return reader, host, err
	}
	st.write([]byte(xmlDeclaration + encodeHeader(st.host) + requireTLS))
	it, err := reader.readItem()
	if err != nil || it.name != "starttls" || !reader.drained() { // no plaintext may follow STARTTLS
		st.sendOutcome(policyViolation, "")
		return reader, host, fmt.Errorf("client sent %q or further bytes instead of STARTTLS alone: %w",
			it.name, err)
	}
	if err := st.write([]byte(proceedTLS)); err != nil {
		return reader, host, err
	}
	tlsConn := tls.Server(st.client.NetConn, config)
	ctx, cancel := context.WithTimeout(context.Background(), permit.RequestDeadline-f.Requests.Clock.Now())
	defer cancel()
	if err := tlsConn.HandshakeContext(ctx); err != nil {
		return reader, host, fmt.Errorf("TLS handshake with the client: %w", err)
	}
	st.client.Attach(tlsConn)
	st.headerSent = false // the client starts a new stream and must be sent a new start tag
	st.client.SetReadDeadline(permit.RequestDeadline)
	reader = newClientReader(permit, tlsConn)
	host, err = f.readHeader(st, reader)
	return reader, host, err
}

// newClientReader returns a reader of what the client sends before its request.
func newClientReader(permit *connlimit.Permit, conn net.Conn) *itemReader {
	reader := newItemReader(conn, maxHeaderBytes)
	reader.account, reader.pace = permit.Buffers, permit.Pace
	return reader
}

// readHeader reads one start tag and returns the configuration of its host. It answers an invalid start tag
// with a stream error.
func (f *Frontend) readHeader(st *stream, reader *itemReader) (Host, error) {
	it, err := reader.readItem()
	violation := noCondition
	switch {
	case err != nil:
		if violation = conditionOf(err); violation == noCondition {
			return Host{}, err
		}
	case it.kind != streamHeader || it.name != "stream:stream":
		violation = badFormat
	case it.attribute("xmlns:stream") != streamsNamespace || it.attribute("xmlns") != clientNamespace:
		violation = invalidNamespace
	case it.attribute("version") != "1.0":
		violation = unsupportedVersion
	}
	st.clientHeader, st.host = it, it.attribute("to")
	host, known := f.Hosts[st.host]
	if violation == noCondition && !known {
		violation = hostUnknown
	}
	if violation != noCondition {
		st.sendOutcome(violation, "")
		return host, &streamError{violation}
	}
	return host, nil
}

// forwardFromClient reads the client until its connection ends and queues its items for the server side.
func (f *Frontend) forwardFromClient(request *relay.Request, st *stream, reader *itemReader) {
	defer st.markEnded()
	for {
		it, err := reader.readItem()
		switch {
		case err == nil:
			switch err := st.push(it); {
			case errors.Is(err, errStreamEnded):
				_, answer := request.State()
				writeAnswer(st, answer)
				return
			case err != nil:
				request.ClientClosed(splice.CloseKindOf(err))
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
			f.Limiter.Log.Warn().
				Err(err).
				Str("to", st.host).
				Msg("client stanza rejected and stream closed with an error; check what the client sends")
			st.sendOutcome(conditionOf(err), "")
			request.ClientClosed(relay.GracefulClose)
			return
		default:
			forwardClientClose(request, st, splice.CloseKindOf(err))
			return
		}
	}
}

// forwardClientClose ends the request of a client that has closed its connection. After a graceful close the
// stanzas that are still in the queue are forwarded first, for as long as splice.Conn.PeerGone allows.
func forwardClientClose(request *relay.Request, st *stream, closeKind relay.CloseKind) {
	state, _ := request.State()
	if closeKind == relay.GracefulClose && state == relay.Established {
		if st.push(item{kind: streamEnd, raw: []byte(streamEndTag)}) == nil {
			request.WakeServerSide()
			st.awaitEnd()
		}
	}
	request.ClientClosed(closeKind)
}

// writeAnswer writes the final answer of a stream that was not established. It does nothing otherwise.
func writeAnswer(st *stream, answer relay.Answer) {
	switch answer.Kind {
	case relay.Rejected:
		st.sendOutcome(resourceConstraint, encodeRetryAfter(answer.RetryAfter))
	case relay.Failed:
		preset := st.streamCondition()
		switch {
		case preset != noCondition:
			st.sendOutcome(preset, "")
		case answer.Cause == decide.TimedOut:
			st.sendOutcome(connectionTimeout, "")
		default:
			st.sendOutcome(remoteConnectionFailed, "")
		}
	}
}
