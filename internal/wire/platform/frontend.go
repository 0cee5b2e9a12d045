package platform

import (
	"errors"
	"fmt"
	"net"

	"capersail/decide"
	"capersail/internal/relay"
	"capersail/internal/resume"
	"capersail/internal/wire/connlimit"
	"capersail/internal/wire/splice"
)

const (
	// maxPingsPerClient is how many pings a connection may begin with. Each costs an answer.
	maxPingsPerClient = 16
	// loggedLineBytes is how much of a malformed line the log is given.
	loggedLineBytes = 80
)

// errUnexpectedLine: a client waits for the answer to its first line. What comes before that is nobody's to
// read, and forwarded it would be another request's line to the server.
var errUnexpectedLine = errors.New("lines before the answer")

// unknownClassError names a class that the deployment does not have.
type unknownClassError struct{ class string }

func (e *unknownClassError) Error() string { return fmt.Sprintf("unknown class %q", e.class) }

// Frontend is the client side: it speaks with each client in a goroutine of its own.
type Frontend struct {
	Requests   *relay.RequestTable
	Deployment *relay.Deployment
	Limiter    *connlimit.Limiter
	// Resume lets streams go on elsewhere; nil where that is off.
	Resume *resume.Service
}

// Serve accepts until the listener is closed, which is no error. A goroutine serves each connection, and ends
// with it.
func (f *Frontend) Serve(l net.Listener) error { return f.Limiter.Serve(l, f.serveClient) }

// serveClient speaks with one client until its connection is closed, and that to its server too.
func (f *Frontend) serveClient(permit *connlimit.Permit) {
	lines := newLineReader(permit.Conn.NetConn)
	permit.Conn.SetReadDeadline(permit.RequestDeadline)
	request := f.acceptRequest(permit, lines)
	if request != nil {
		f.forwardFromClient(request, permit.Conn, lines)
	}
	permit.CloseAndRelease(request)
}

// acceptRequest takes a connection up to its request. Nil means that it has its answer, or that none is due:
// it brought nothing in time, or was evicted.
func (f *Frontend) acceptRequest(permit *connlimit.Permit, lines *lineReader) *relay.Request {
	half := permit.Conn
	// Once cut off, only what has come counts: the time is up, the connection is evicted or the relay shuts
	// down.
	cutOff := false
	for range maxPingsPerClient {
		line, err := lines.readLine()
		if splice.TimedOut(err) && !cutOff {
			cutOff = true
			lines.prepend(half.ReadPending())
			line, err = lines.readLine()
		}
		if err != nil && !errors.Is(err, errLineTooLong) {
			return nil
		}
		if first, _ := splitFirstWord(line); err != nil || first != wordPing {
			return f.openFromLine(permit, lines, line, err)
		}
		if half.Forward(f.pingAnswer()) != nil {
			return nil
		}
	}
	return nil
}

// pingAnswer answers a health check. A relay that is drained manually is to be sent no one new. One that shuts
// down still answers as healthy: in an upgrade the connection of whoever checks may be this process's, while
// its successor serves the socket.
func (f *Frontend) pingAnswer() []byte {
	if f.Requests.Draining() {
		return encodeLine(wordRejected)
	}
	return encodeLine(wordPong)
}

// openFromLine opens the request of a client's first line, which may be too long. It returns nil once it has
// answered a line that opens none.
func (f *Frontend) openFromLine(
	permit *connlimit.Permit, lines *lineReader, line []byte, lineErr error,
) *relay.Request {
	half := permit.Conn
	open, previousServer, err := f.parseRequest(line, lineErr)
	if err == nil && lines.buffered.Buffered() > 0 {
		err = errUnexpectedLine
	}
	if err != nil {
		f.rejectLine(half, line, err)
		return nil
	}
	if !permit.AcquireRequest() { // better a rejection at once than an accept that fails
		f.Requests.RecordConnLimitRejection(open.Class)
		half.Forward(encodeRejected(connlimit.RetryAfter))
		return nil
	}
	half.SetReadDeadline(0)
	if previousServer != "" {
		return f.Requests.Resume(open, previousServer, half)
	}
	return f.Requests.Open(open, half)
}

// rejectLine answers a line that cannot be read, or may not come now.
func (f *Frontend) rejectLine(half *splice.Conn, line []byte, err error) {
	f.Limiter.Log.Warn().
		Err(err).
		Bytes("line", line[:min(len(line), loggedLineBytes)]).
		Msg("malformed client line; request failed")
	var cannotResume *resumeError
	if errors.As(err, &cannotResume) {
		half.Forward(encodeResumeFailed(cannotResume.note))
		return
	}
	half.Forward(encodeLine(wordFailed, "bad", "request"))
}

// parseRequest puts a first line into the decision module's numbers. It returns the server that held the
// connection before the run too, "" for a new request. Its errors are those of the line, an unknownClassError
// or a resumeError.
func (f *Frontend) parseRequest(line []byte, lineErr error) (relay.RequestParams, string, error) {
	if lineErr != nil {
		return relay.RequestParams{}, "", lineErr
	}
	parse := parseOpening
	if f.Resume != nil {
		parse = parseResumableOpening
	}
	o, err := parse(line)
	if err != nil {
		return relay.RequestParams{}, "", err
	}
	class, known := f.Deployment.Classes[o.class]
	if !known {
		return relay.RequestParams{}, "", &unknownClassError{o.class}
	}
	tenant, known := f.Deployment.Tenants[o.tenant]
	if !known {
		tenant = decide.NoTenant
	}
	timeout := o.clientWait
	if longest := f.Deployment.Settings.Classes[class].Deadline; longest > 0 && o.previousServer == "" {
		timeout = min(timeout, longest) // no client of the class waits for longer, whatever it says
	}
	open := relay.RequestParams{
		Name:      o.id,
		Class:     class,
		Tenant:    tenant,
		Key:       o.key,
		Group:     o.group,
		LoadHint:  o.loadHint,
		Timeout:   timeout,
		Returning: o.returned,
		Payload:   o,
	}
	if o.resumeToken != "" {
		stream, err := f.openStream(o)
		if err != nil {
			return relay.RequestParams{}, "", err
		}
		open.Ownership = stream
		open.Returning = open.Returning || stream.MustWait()
	}
	return open, o.previousServer, nil
}

// forwardFromClient reads the client until its end. Before the request is established a wake means an answer;
// after that the server side writes to the client, and this goroutine only forwards what the client sends.
func (f *Frontend) forwardFromClient(request *relay.Request, half *splice.Conn, lines *lineReader) {
	stream := streamOf(request)
	for {
		line, err := lines.readLine()
		switch {
		case stream != nil && err == nil && confirmToken(stream, line): // the relay's line, whenever it comes
		case len(line) > 0 && request.FailOnClientError():
			f.rejectLine(half, line, errUnexpectedLine)
			return
		case errors.Is(err, errLineTooLong): // no part of it is forwarded: its server is not at fault
			f.Limiter.Log.Warn().Err(err).Msg("overlong client line; client migrated")
			request.MigrateClient()
			<-request.BothSidesDone()
			return
		case len(line) > 0:
			server := request.ServerConn()
			if server == nil {
				writeAnswer(request, half)
				return
			}
			request.LineSent()
			server.Forward(line) // if that fails, the server side meets the same break and ends both
		case splice.TimedOut(err):
			half.ClearWake()
			if state, _ := request.State(); state == relay.Ended || half.Closed() {
				writeAnswer(request, half)
				return
			}
			half.SetReadDeadline(0)
		default:
			request.ClientClosed(splice.CloseKindOf(err))
			return
		}
	}
}

// writeAnswer writes the final answer of a request that was not established; nothing if it was.
func writeAnswer(request *relay.Request, half *splice.Conn) {
	switch _, answer := request.State(); answer.Kind {
	case relay.Rejected:
		half.Forward(encodeRejected(answer.RetryAfter))
	case relay.Failed:
		if answer.Note != "" {
			half.Forward(encodeResumeFailed(answer.Note))
			return
		}
		half.Forward(encodeLine(wordFailed))
	}
}
