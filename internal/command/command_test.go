package command

import (
	"bytes"
	"image/png"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"

	"capersail/internal/control"
	"capersail/internal/observe/anomaly"
	"capersail/internal/observe/timeline"
	"capersail/internal/store"
)

// runCommand runs a command line and returns its exit code, standard output and standard error.
func runCommand(args ...string) (code int, out, errs string) {
	var o, e bytes.Buffer
	getenv := func(string) string { return "" }
	code = Main(args, &Program{In: strings.NewReader(""), Out: &o, Err: &e, Getenv: getenv})
	return code, o.String(), e.String()
}

// newStoreWithSilentServer returns the path of a time line store with two servers, of which s-2 stopped
// answering probes.
func newStoreWithSilentServer(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "night.db")
	s, err := store.Open(path, store.Options{}, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	add := func(bucket string, at float64, id string, v any) {
		text, err := cbor.Marshal(v)
		if err != nil {
			t.Fatal(err)
		}
		s.Append(bucket, int64(at), id, text)
	}
	const began = 1_800_000_000_000.0
	for _, server := range []string{"s-1", "s-2"} {
		add("bands", began, server, timeline.StatePeriod{State: timeline.Warm, From: began, Cause: "list"})
		for i := range 30 {
			at := began + float64(i)*10_000
			add("steps", at, server, timeline.Interval{
				From:        at,
				Width:       10_000,
				Placements:  3,
				Connections: 3,
				Readings:    8,
				Load:        [3]float32{0.1, 0.4, 0.7},
			})
		}
	}
	add("bands", began+100_000, "s-2", timeline.StatePeriod{
		State: timeline.Unresponsive,
		From:  began + 100_000,
		Cause: "2 probes without an answer",
	})
	add("events", began+100_000, "silent\x00s-2", anomaly.Event{
		Server:     "s-2",
		Kind:       anomaly.Unresponsive,
		From:       began + 100_000,
		To:         began + 130_000,
		Evidence:   "2 probes",
		Confidence: 0.75,
	})
	ctx := t.Context()
	go s.Run(ctx)
	s.Flush()
	s.Close()
	return path
}

// The exit code gives the kind of error, and the error is printed as one line.
func TestExitCodes(t *testing.T) {
	missing := filepath.Join(t.TempDir(), "none")
	for _, c := range []struct {
		name string
		args []string
		code int
		want string
	}{
		{"version", []string{"version"}, 0, ""},
		{"help", []string{"help"}, 0, ""},
		{"completion", []string{"completion", "bash"}, 0, ""},
		{"no configuration", nil, ExitFailure, "LB_CONFIG: not set"},
		{"an unknown flag", []string{"--colour"}, ExitUsage, "unknown flag: --colour"},
		{"an unknown level", []string{"--log-level", "loud"}, ExitUsage, "log-level: "},
		{"an extra argument", []string{"version", "x"}, ExitUsage, "unknown command"},
		{"a missing file of a flag with a single dash", []string{"-xmpp", missing}, ExitFailure, missing},
		{"no socket and no store", []string{"timeline", "list"}, ExitUsage, "one of --config"},
		{"no relay", []string{"timeline", "list", "--socket", missing}, ExitNoAnswer, "no relay answers"},
		{"no store", []string{"timeline", "list", "--store", missing}, ExitNoAnswer, missing},
		{
			"an invalid time",
			[]string{"timeline", "list", "--store", missing, "--from", "noon"},
			ExitUsage, "from: ",
		},
		{
			"an unknown format",
			[]string{"timeline", "export", "--store", missing, "--format", "gif"},
			ExitUsage, "format: ",
		},
		{"a client without a listener", []string{"client", "127.0.0.1:1"}, ExitFailure, "connection refused"},
	} {
		code, _, errs := runCommand(c.args...)
		oneLine := strings.Count(errs, "\n") == 1 && strings.HasPrefix(errs, "capersail: ")
		if code != c.code || !strings.Contains(errs, c.want) || code != 0 && !oneLine {
			t.Errorf("%s: exit code %d, standard error %q; want %d, %q", c.name, code, errs, c.code, c.want)
		}
	}
}

// A store is read without a relay, and written as text, events, JSON, CSV and charts.
func TestTimelineFromAStore(t *testing.T) {
	path := newStoreWithSilentServer(t)
	for _, c := range []struct {
		args     []string
		contains []string
	}{
		{[]string{"list"}, []string{"s-1", "s-2", "silent"}},
		{[]string{"show", "s-2"}, []string{"s-2  silent", "2 probes without an answer", "! 08:01:40.000"}},
		{[]string{"events"}, []string{"08:01:40.000 - 08:02:10.000", "s-2", "75 %"}},
		{[]string{"events", "--to", "2027-01-15T08:01:00Z"}, nil},
		{[]string{"export", "--format", "json"}, []string{`"kind":"band"`, `"kind":"step"`, `"kind":"event"`}},
		{[]string{"export", "--format", "csv", "s-1"}, []string{"server,from_ms", "s-1,1800000000000,10000"}},
		{[]string{"export", "--format", "svg"}, []string{"<svg", "silent"}},
	} {
		code, out, errs := runCommand(append([]string{"timeline", "--store", path}, c.args...)...)
		if code != 0 {
			t.Errorf("timeline %v: exit code %d, want 0: %s", c.args, code, errs)
		}
		for _, want := range c.contains {
			if !strings.Contains(out, want) {
				t.Errorf("timeline %v: got no %q in %.600q", c.args, want, out)
			}
		}
		if c.contains == nil && out != "" {
			t.Errorf("timeline %v: got %q, want no output", c.args, out)
		}
	}
	file := filepath.Join(t.TempDir(), "night.png")
	if code, _, errs := runCommand("timeline", "--store", path, "export", "-o", file); code != 0 {
		t.Fatalf("timeline export -o: exit code %d, want 0: %s", code, errs)
	}
	f, err := os.Open(file)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	if img, err := png.Decode(f); err != nil || img.Bounds().Dx() < 600 || img.Bounds().Dy() < 200 {
		t.Errorf("exported chart: image %v, error %v; want at least 600 x 200 pixels", img, err)
	}
	code, _, errs := runCommand("timeline", "--store", path, "export",
		"--from", "2030-01-01T00:00:00Z", "-o", file)
	if code != ExitFailure || !strings.Contains(errs, "nothing to draw") {
		t.Errorf("export of an empty period: got exit code %d, %q; want 1, nothing to draw", code, errs)
	}
}

// Each problem in a file is reported with the file and the key.
func TestConfigCheck(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		os.WriteFile(path, []byte(text), 0o600)
		return path
	}
	bad := write("timeline.toml", "socket = \"here\"\nstore_mb = 1\nbuffer = 7\ncolour = 1\n")
	code, _, errs := runCommand("config", "check", bad)
	for _, want := range []string{"socket: ", "store_mb: ", "buffer: ", "colour: unknown key"} {
		if !strings.Contains(errs, bad+": "+want) {
			t.Errorf("config check: got no error %q in %q", want, errs)
		}
	}
	if code != ExitFailure {
		t.Errorf("config check of an invalid file: got exit code %d, want 1", code)
	}
	code, out, errs := runCommand("config", "check",
		"../../examples/config.json", "../../deploy/timeline.toml", "../../deploy/xmpp.toml")
	if code != 0 || strings.Count(out, "good") != 3 {
		t.Errorf("config check of valid files: got exit code %d, output %q, error %q; want 0", code, out, errs)
	}
	code, _, errs = runCommand("config", "check", write("x.toml", "nothing = 1\n"))
	if code != ExitFailure || !strings.Contains(errs, "unknown kind of file; want keys of") {
		t.Errorf("config check of an unknown kind of file: got exit code %d, %q; want 1", code, errs)
	}
}

// A client script sends and waits as its steps say, and an error names the script and the line of the step.
func TestClientScript(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				buf := make([]byte, 100)
				conn.Read(buf)
				conn.Write([]byte("NOISE\r\nPONG 7\r\n"))
				conn.Read(buf)
			}()
		}
	}()
	script := filepath.Join(t.TempDir(), "s")
	os.WriteFile(script, []byte("# greets\n> PING\n< PONG\n"), 0o600)
	code, out, errs := runCommand("client", l.Addr().String(), "--script", script)
	if code != 0 || out != "> PING\n< NOISE\n< PONG 7\n" {
		t.Errorf("client script: got exit code %d, output %q, error %q; want 0 and all lines",
			code, out, errs)
	}
	os.WriteFile(script, []byte("> PING\n< NEVER\n"), 0o600)
	code, _, errs = runCommand("client", l.Addr().String(), "--script", script, "--within", "50ms")
	if code != ExitFailure || !strings.Contains(errs, script+":2: waiting for NEVER") {
		t.Errorf("client script whose step times out: got exit code %d, %q; want 1", code, errs)
	}
}

// Clients of the control socket that send nothing are disconnected and do not keep others from an answer. The
// socket is accessible to its owner only, and a second process cannot listen on it.
func TestControlSocket(t *testing.T) {
	path := filepath.Join(t.TempDir(), "c.sock")
	s, err := control.Listen(path, control.Sources{}, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	if info, _ := os.Stat(path); info.Mode().Perm() != 0o600 {
		t.Errorf("control socket: mode %o, want 600", info.Mode().Perm())
	}
	if _, err := control.Listen(path, control.Sources{}, zerolog.Nop()); err == nil {
		t.Error("a second listener on the same control socket succeeded, want an error")
	}
	var idleConns []net.Conn
	for range 40 { // more than the socket serves at once; they send nothing
		if conn, err := net.Dial("unix", path); err == nil {
			idleConns = append(idleConns, conn)
		}
	}
	ok := false
	end := time.Now().Add(30 * time.Second)
	for ; !ok && time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		code, _, _ := runCommand("timeline", "list", "--socket", path)
		ok = code == 0
	}
	if !ok {
		t.Error("idle connections block the control socket: no query succeeded in 30 s")
	}
	for _, c := range idleConns {
		c.Close()
	}
}
