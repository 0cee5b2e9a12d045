package platform

import (
	"errors"
	"fmt"
	"math"
	"net"

	"capersail/decide"
	"capersail/internal/relay"
	"capersail/internal/resume"
	"capersail/internal/wire/connlimit"
	"capersail/internal/wire/splice"
)

// maxPingsPerClient is how many pings a connection may begin with. Each costs an answer.
const maxPingsPerClient = 16

// Frontend is the client side: it speaks with each client in a goroutine of its own.
type Frontend struct {
	Requests   *relay.RequestTable
	Deployment *relay.Deployment
	Limiter    *connlimit.Limiter
	// Resume lets streams go on elsewhere; nil where that is off.
	Resume *resume.Service
}

// Serve accepts until the listener is closed.
func (f *Frontend) Serve(l net.Listener) error { return f.Limiter.Serve(l, f.serveClient) }

// serveClient speaks with one client until its connection is closed, and that to its server too.
func (f *Frontend) serveClient(p *connlimit.Permit) {
	e := p.Half
	in := newLineReader(e.Conn)
	e.SetReadUntil(p.RequestUntil)
	call := f.acceptRequest(p, e, in)
	if call != nil {
		f.forwardFromClient(call, e, in)
	}
	p.CloseAndRelease(call)
}

// acceptRequest takes a connection up to its request. Nil means that it has its answer, or that none is due: it said
// nothing in time, or had to make room for others.
func (f *Frontend) acceptRequest(p *connlimit.Permit, e *splice.Half, in *lineReader) *relay.Request {
	last := false // what has come is all that counts: its time is up, its place is wanted, or the relay leaves
	for range maxPingsPerClient {
		line, err := in.readLine()
		if splice.TimedOut(err) && !last {
			last = true
			in.prepend(e.ReadPending())
			line, err = in.readLine()
		}
		if err != nil && !errors.Is(err, errLineTooLong) {
			return nil
		}
		if first, _ := splitFirstWord(line); err == nil && first == "PING" {
			answer := "PONG\r\n"
			if f.Requests.Draining() { // by hand: the front is to send no one new. Not so when leaving: in an upgrade the
				// front's kept connection may be this process's, while the one that follows it serves the socket
				answer = "BUSY\r\n"
			}
			if e.Forward([]byte(answer)) != nil {
				return nil
			}
			continue
		}
		ask, at, err := f.openRequest(line, err)
		if err == nil && in.buffered.Buffered() > 0 {
			err = errUnexpectedLine
		}
		if err != nil {
			f.rejectLine(e, line, err)
			return nil
		}
		if !p.AcquireRequest() { // the bound on descriptors: better a no at once than an accept that fails
			f.Requests.RecordConnLimitRejection(ask.Class)
			e.Forward([]byte("BUSY 500\r\n"))
			return nil
		}
		e.SetReadUntil(0)
		if at != "" {
			return f.Requests.Resume(ask, at, e)
		}
		return f.Requests.Open(ask, e)
	}
	return nil
}

// errUnexpectedLine: a client waits for the answer to its first line. What comes before that is nobody's to read,
// and passed on it would be another request's line to the server.
var errUnexpectedLine = errors.New("lines before the answer")

// rejectLine answers what cannot be read.
func (f *Frontend) rejectLine(e *splice.Half, line []byte, err error) {
	f.Limiter.Log.Warn().Err(err).Bytes("line", line[:min(len(line), 80)]).Msg("bad client; failed")
	var r *resumeError
	if errors.As(err, &r) {
		e.Forward([]byte("ERR resume " + r.note + "\r\n"))
		return
	}
	e.Forward([]byte("ERR bad request\r\n"))
}

// openRequest puts a first line into the module's numbers.
func (f *Frontend) openRequest(line []byte, err error) (relay.OpenRequest, string, error) {
	if err != nil {
		return relay.OpenRequest{}, "", err
	}
	parse := parseOpening
	if f.Resume != nil {
		parse = parseResumableOpening
	}
	o, err := parse(line)
	if err != nil {
		return relay.OpenRequest{}, "", err
	}
	class, ok := f.Deployment.Classes[o.class]
	if !ok {
		return relay.OpenRequest{}, "", fmt.Errorf("unknown class %q", o.class)
	}
	tenant, ok := f.Deployment.Tenants[o.tenant]
	if !ok {
		tenant = decide.NoTenant
	}
	left := o.clientWait
	if longest := f.Deployment.Settings.Classes[class].Deadline; longest > 0 && o.previousServer == "" {
		left = min(left, longest) // no client of the class waits for longer, whatever it says
	}
	ask := relay.OpenRequest{Name: o.id, Class: class, Tenant: tenant, Key: o.key, Group: o.group, Hint: o.loadHint, Timeout: left,
		Returned: o.returned, Payload: o}
	if o.resumeToken != "" {
		st, err := f.openStream(o)
		if err != nil {
			return relay.OpenRequest{}, "", err
		}
		ask.Ownership, ask.Returned = st, ask.Returned || st.MustWait()
	}
	return ask, o.previousServer, nil
}

// forwardFromClient reads the client until its end. Before the call is up a wake means an answer; after that the
// server side writes to the client, and this goroutine only passes on what the client sends.
func (f *Frontend) forwardFromClient(call *relay.Request, e *splice.Half, in *lineReader) {
	st := streamOf(call)
	for {
		line, err := in.readLine()
		switch {
		case st != nil && err == nil && confirmToken(st, line): // the relay's own line, whenever it comes
		case len(line) > 0 && call.FailOnClientError():
			f.rejectLine(e, line, errUnexpectedLine)
			return
		case errors.Is(err, errLineTooLong): // no part of it goes on, and the server is no worse for its client
			f.Limiter.Log.Warn().Err(err).Msg("bad client; moved")
			call.MigrateClient()
			<-call.Finished()
			return
		case len(line) > 0:
			remote := call.ServerConn()
			if remote == nil {
				f.writeAnswer(call, e)
				return
			}
			call.LineSent()
			remote.Forward(line) // if that fails, the server side meets the same break and ends both
		case splice.TimedOut(err):
			e.ClearWake()
			if state, _ := call.State(); state == relay.Ended || e.Closed() { // answered, or ended by its server
				f.writeAnswer(call, e)
				return
			}
			e.SetReadUntil(0)
		default:
			call.ClientClosed(splice.EndingOf(err))
			return
		}
	}
}

// writeAnswer writes the final writeAnswer of a call that did not come up.
func (f *Frontend) writeAnswer(call *relay.Request, e *splice.Half) {
	_, a := call.State()
	switch {
	case a.Kind == relay.Rejected && a.RetryAfter > 0:
		e.Forward(fmt.Appendf(nil, "BUSY %d\r\n", int(math.Ceil(relay.Millis(a.RetryAfter)))))
	case a.Kind == relay.Rejected:
		e.Forward([]byte("BUSY\r\n"))
	case a.Kind == relay.Failed && a.Note != "":
		e.Forward([]byte("ERR resume " + a.Note + "\r\n"))
	case a.Kind == relay.Failed:
		e.Forward([]byte("ERR\r\n"))
	}
}
