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
	// maxPingsPerClient is how many pings a connection may send before its request. It bounds the answers
	// that a client without a request can cause.
	maxPingsPerClient = 16
	// loggedLineBytes is how much of a rejected line is logged.
	loggedLineBytes = 80
)

// errUnexpectedLine is the error of a client that sends lines before its first line has been answered. No
// server is attached at that point, and a server to which such a line was forwarded would take it as the
// first line of another request.
var errUnexpectedLine = errors.New("client sent another line before its first line was answered")

// unknownClassError is the error of a first line whose class is not configured in the deployment.
type unknownClassError struct{ class string }

func (e *unknownClassError) Error() string { return fmt.Sprintf("class %q is not configured", e.class) }

// Frontend is the client side of the protocol. It serves each client in a separate goroutine.
type Frontend struct {
	Requests   *relay.RequestTable
	Deployment *relay.Deployment
	Limiter    *connlimit.Limiter
	// Resume handles resumable streams; nil if they are disabled.
	Resume *resume.Service
}

// Serve accepts connections until the listener is closed, which is not an error. Each connection is served by
// a goroutine that ends with the connection.
func (f *Frontend) Serve(l net.Listener) error { return f.Limiter.Serve(l, f.serveClient) }

// serveClient serves one client until its connection and the one to its server are closed.
func (f *Frontend) serveClient(permit *connlimit.Permit) {
	lines := newLineReader(permit.Conn.NetConn)
	lines.pace = permit.Pace
	permit.Conn.SetReadDeadline(permit.RequestDeadline)
	request := f.acceptRequest(permit, lines)
	if request != nil {
		f.forwardFromClient(request, permit.Conn, lines)
	}
	permit.CloseAndRelease(request)
}

// acceptRequest reads a connection up to its first line and opens the request. It returns nil if the line was
// answered with a rejection or a failure, or if no request came in time or before an eviction.
func (f *Frontend) acceptRequest(permit *connlimit.Permit, lines *lineReader) *relay.Request {
	half := permit.Conn
	// interrupted is set once the deadline has passed, the connection is evicted or the relay shuts down.
	// From then on only bytes that were received before are read.
	interrupted := false
	for range maxPingsPerClient {
		line, err := lines.readLine()
		if splice.TimedOut(err) && !interrupted {
			interrupted = true
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

// pingAnswer returns the answer to a health check. A relay that is drained manually answers BUSY, so that it
// gets no new clients. A relay that shuts down still answers PONG: during an upgrade the health check's
// connection may belong to this process while its successor already accepts on the socket.
func (f *Frontend) pingAnswer() []byte {
	if f.Requests.Draining() {
		return encodeLine(wordRejected)
	}
	return encodeLine(wordPong)
}

// openFromLine opens the request of a client's first line. lineErr is errLineTooLong if the line is too long.
// If the line opens no request, openFromLine answers it and returns nil.
func (f *Frontend) openFromLine(
	permit *connlimit.Permit, lines *lineReader, line []byte, lineErr error,
) *relay.Request {
	half := permit.Conn
	params, previousServer, err := f.parseRequest(line, lineErr)
	if err == nil && lines.buffered.Buffered() > 0 {
		err = errUnexpectedLine
	}
	if err != nil {
		f.rejectLine(half, line, err)
		return nil
	}
	if !permit.AcquireRequest() { // rejects now, as running out of descriptors would make later accepts fail
		f.Requests.RecordConnLimitRejection(params.Class)
		half.Forward(encodeRejected(connlimit.RetryAfter))
		return nil
	}
	half.SetReadDeadline(0)
	if previousServer != "" {
		return f.Requests.Resume(params, previousServer, half)
	}
	return f.Requests.Open(params, half)
}

// rejectLine logs a malformed or unexpected line and answers it with ERR.
func (f *Frontend) rejectLine(half *splice.Conn, line []byte, err error) {
	f.Limiter.Log.Warn().
		Err(err).
		Bytes("line", line[:min(len(line), loggedLineBytes)]).
		Msg("client line rejected with ERR; compare it with the protocol and the configured classes")
	var cannotResume *resumeError
	if errors.As(err, &cannotResume) {
		half.Forward(encodeResumeFailed(cannotResume.note))
		return
	}
	half.Forward(encodeLine(wordFailed, "bad", "request"))
}

// parseRequest parses a first line and maps its names to the numbers of the decision module. It also returns
// the server that had the connection before this relay started, "" for a new request. The error is lineErr, a
// syntax error of the line, an unknownClassError or a resumeError.
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
		timeout = min(timeout, longest) // the deadline of the class limits the wait that a client asks for
	}
	params := relay.RequestParams{
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
		params.Ownership = stream
		params.Returning = params.Returning || stream.MustWait()
	}
	return params, o.previousServer, nil
}

// forwardFromClient reads the client until its connection ends and forwards its lines. Before the request is
// established, a wake means that the request has its answer, which this goroutine writes. After that only the
// server side writes to the client.
func (f *Frontend) forwardFromClient(request *relay.Request, half *splice.Conn, lines *lineReader) {
	stream := streamOf(request)
	for {
		line, err := lines.readLine()
		switch {
		case stream != nil && err == nil && confirmToken(stream, line): // for the relay only, at any time
		case len(line) > 0 && request.FailOnClientError():
			f.rejectLine(half, line, errUnexpectedLine)
			return
		case errors.Is(err, errLineTooLong): // nothing is forwarded: the server is not at fault
			f.Limiter.Log.Warn().
				Err(err).
				Msg("client line exceeds 4 KiB; client migrated; check what the client sends")
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
			// A server that does not read may have got a part of the line. Any other error also reaches the
			// server side, which closes both connections.
			if splice.TimedOut(server.Forward(line)) {
				request.MigrateClient()
			}
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

// writeAnswer writes the final answer of a request that was not established. It does nothing otherwise.
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
