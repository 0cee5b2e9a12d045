package xmpp

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"math"
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
	Class  decide.Class
	Tenant decide.Tenant
	Key    uint64
	Left   time.Duration // until a stream must be up
}

// Front is the client side.
type Front struct {
	X     *relay.RequestTable
	Hosts map[string]Host
	TLS   atomic.Pointer[tls.Config] // for new connections; nil only where the operator's file allows plaintext
	Gate  *connlimit.Limiter
}

// Serve accepts until the listener is closed.
func (f *Front) Serve(l net.Listener) error { return f.Gate.Serve(l, f.serve) }

// serve speaks with one client until its connection is closed, and that to its server too.
func (f *Front) serve(p *connlimit.Permit) {
	e := p.Half
	st := newStream(e)
	e.SetReadUntil(p.RequestUntil)
	r, host, err := f.header(e, st, p.RequestUntil)
	var call *relay.Request
	switch {
	case err != nil:
		f.Gate.Log.Warn().Err(err).Str("to", st.to).Msg("stream refused before it was placed")
	case !p.AcquireRequest():
		f.X.RecordConnLimitRejection(host.Class)
		st.finish("resource-constraint", retryAfter(connLimitRetryAfter))
	default:
		e.SetReadUntil(0)
		call = f.X.Open(relay.OpenRequest{Class: host.Class, Tenant: host.Tenant, Key: host.Key, Timeout: host.Left, Payload: st}, clientEnd{e, st})
		f.follow(call, st, r)
	}
	p.CloseAndRelease(call)
}

// header takes the client's start tag, after STARTTLS where there is a certificate; all of it by a time that
// no step renews.
func (f *Front) header(e *splice.Half, st *stream, until time.Duration) (*reader, Host, error) {
	r := newReader(e.Conn)
	host, err := f.start(st, r)
	config := f.TLS.Load()
	if err != nil || config == nil {
		return r, host, err
	}
	st.write([]byte("<?xml version='1.0'?>" + startTag(st.to) +
		"<stream:features><starttls xmlns='" + tlsNS + "'><required/></starttls></stream:features>"))
	it, err := r.next()
	if err != nil || it.name != "starttls" || !r.idle() { // bytes before the handshake are nobody's
		st.finish("policy-violation", "")
		return r, host, fmt.Errorf("no STARTTLS but %q: %w", it.name, err)
	}
	if err := st.write([]byte("<proceed xmlns='" + tlsNS + "'/>")); err != nil {
		return r, host, err
	}
	secure := tls.Server(e.Conn, config)
	ctx, stop := context.WithTimeout(context.Background(), until-f.X.Clock.Now())
	defer stop()
	if err := secure.HandshakeContext(ctx); err != nil {
		return r, host, fmt.Errorf("TLS: %w", err)
	}
	e.Attach(secure)
	st.header = false // the client begins a new stream, and is owed a new start tag
	e.SetReadUntil(until)
	r = newReader(secure)
	host, err = f.start(st, r)
	return r, host, err
}

// start takes one start tag and finds its host.
func (f *Front) start(st *stream, r *reader) (Host, error) {
	it, err := r.next()
	condition := ""
	switch {
	case err != nil && ours(err):
		condition = err.Error()
	case err != nil:
		return Host{}, err
	case it.kind != opened || it.name != "stream:stream":
		condition = "bad-format"
	case it.attrs["xmlns:stream"] != streamsNS || it.attrs["xmlns"] != "jabber:client":
		condition = "invalid-namespace"
	case it.attrs["version"] != "1.0":
		condition = "unsupported-version"
	}
	st.open, st.to = it, it.attrs["to"]
	host, known := f.Hosts[st.to]
	if condition == "" && !known {
		condition = "host-unknown"
	}
	if condition != "" {
		st.finish(condition, "")
		return host, errors.New(condition)
	}
	return host, nil
}

// follow reads the client until its end, and queues what it sends for the server side.
func (f *Front) follow(call *relay.Request, st *stream, r *reader) {
	defer st.leave()
	for {
		it, err := r.next()
		switch {
		case err == nil:
			if !st.push(it) {
				_, answer := call.State()
				f.answer(st, answer)
				return
			}
			call.WakeServerSide()
		case splice.TimedOut(err):
			st.client.ClearWake()
			if state, answer := call.State(); state == relay.Ended || st.client.Closed() {
				f.answer(st, answer)
				return
			}
			st.client.SetReadUntil(0)
		case ours(err):
			f.Gate.Log.Warn().Err(err).Str("to", st.to).Msg("stream ended for what its client sent")
			st.finish(err.Error(), "")
			call.ClientClosed(relay.GracefulClose)
			return
		default:
			// A client that ends its connection in order may have stanzas in the queue: they go out first.
			state, _ := call.State()
			if splice.EndingOf(err) == relay.GracefulClose && state == relay.Established && st.push(item{kind: closed, raw: []byte("</stream:stream>")}) {
				call.WakeServerSide()
				st.wait()
			}
			call.ClientClosed(splice.EndingOf(err))
			return
		}
	}
}

// answer tells the client the final answer of a stream that did not come up.
func (f *Front) answer(st *stream, a relay.Answer) {
	switch a.Kind {
	case relay.Rejected:
		st.finish("resource-constraint", retryAfter(a.RetryAfter))
	case relay.Failed:
		switch {
		case st.why() != "":
			st.finish(st.why(), "")
		case a.Cause == decide.TimedOut:
			st.finish("connection-timeout", "")
		default:
			st.finish("remote-connection-failed", "")
		}
	}
}

func (st *stream) why() string {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.reason
}

// retryAfter is the child of a refusal that tells the client when to come again.
func retryAfter(d time.Duration) string {
	return fmt.Sprintf("<retry-after xmlns='%s' ms='%d'/>", retryNS, int(math.Ceil(relay.Millis(d))))
}
