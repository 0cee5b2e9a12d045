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

// run runs a command line.
func run(args ...string) (code int, out, errs string) {
	var o, e bytes.Buffer
	getenv := func(string) string { return "" }
	code = Main(args, &Program{In: strings.NewReader(""), Out: &o, Err: &e, Getenv: getenv})
	return code, o.String(), e.String()
}

// night is a store with a server that fell silent.
func night(t *testing.T) string {
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

// The exit code says what kind an error is, and its text is one line.
func TestExitCodes(t *testing.T) {
	missing := filepath.Join(t.TempDir(), "none")
	for _, c := range []struct {
		name string
		args []string
		code int
		says string
	}{
		{"version", []string{"version"}, 0, ""},
		{"help", []string{"help"}, 0, ""},
		{"completion", []string{"completion", "bash"}, 0, ""},
		{"no configuration", nil, ExitFailure, "LB_CONFIG: not set"},
		{"an unknown flag", []string{"--colour"}, ExitUsage, "unknown flag: --colour"},
		{"an unknown level", []string{"--log-level", "loud"}, ExitUsage, "log-level: "},
		{"an argument too many", []string{"version", "x"}, ExitUsage, "unknown command"},
		{"of an old flag, the file", []string{"-xmpp", missing}, ExitFailure, missing},
		{"nowhere to ask", []string{"timeline", "list"}, ExitUsage, "one of --config"},
		{"nobody answers", []string{"timeline", "list", "--socket", missing}, ExitNoAnswer, "no relay answers"},
		{"no store", []string{"timeline", "list", "--store", missing}, ExitNoAnswer, missing},
		{
			"a time that is none",
			[]string{"timeline", "list", "--store", missing, "--from", "noon"},
			ExitUsage, "from: ",
		},
		{
			"a format that is none",
			[]string{"timeline", "export", "--store", missing, "--format", "gif"},
			ExitUsage, "format: ",
		},
		{"nobody listens", []string{"client", "127.0.0.1:1"}, ExitFailure, "connection refused"},
	} {
		code, _, errs := run(c.args...)
		oneLine := strings.Count(errs, "\n") == 1 && strings.HasPrefix(errs, "capersail: ")
		if code != c.code || !strings.Contains(errs, c.says) || code != 0 && !oneLine {
			t.Errorf("%s: exit %d, %q", c.name, code, errs)
		}
	}
}

// A store of a bad night, read without a relay: as text, events, JSON, CSV and pictures.
func TestTimelineFromAStore(t *testing.T) {
	path := night(t)
	for _, c := range []struct {
		args []string
		says []string
	}{
		{[]string{"list"}, []string{"s-1", "s-2", "silent"}},
		{[]string{"show", "s-2"}, []string{"s-2  silent", "2 probes without an answer", "! 08:01:40.000"}},
		{[]string{"events"}, []string{"08:01:40.000 - 08:02:10.000", "s-2", "75 %"}},
		{[]string{"events", "--to", "2027-01-15T08:01:00Z"}, nil},
		{[]string{"export", "--format", "json"}, []string{`"kind":"band"`, `"kind":"step"`, `"kind":"event"`}},
		{[]string{"export", "--format", "csv", "s-1"}, []string{"server,from_ms", "s-1,1800000000000,10000"}},
		{[]string{"export", "--format", "svg"}, []string{"<svg", "silent"}},
	} {
		code, out, errs := run(append([]string{"timeline", "--store", path}, c.args...)...)
		if code != 0 {
			t.Errorf("%v: exit %d, %s", c.args, code, errs)
		}
		for _, want := range c.says {
			if !strings.Contains(out, want) {
				t.Errorf("%v: no %q in %.600q", c.args, want, out)
			}
		}
		if c.says == nil && out != "" {
			t.Errorf("%v: %q", c.args, out)
		}
	}
	file := filepath.Join(t.TempDir(), "night.png")
	if code, _, errs := run("timeline", "--store", path, "export", "-o", file); code != 0 {
		t.Fatal(errs)
	}
	f, err := os.Open(file)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	if img, err := png.Decode(f); err != nil || img.Bounds().Dx() < 600 || img.Bounds().Dy() < 200 {
		t.Errorf("%v, %v", img, err)
	}
	code, _, errs := run("timeline", "--store", path, "export", "--from", "2030-01-01T00:00:00Z", "-o", file)
	if code != ExitFailure || !strings.Contains(errs, "nothing to draw") {
		t.Errorf("an empty picture: %d, %q", code, errs)
	}
}

// Each problem of a file is named with the file and the key.
func TestConfigCheck(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		os.WriteFile(path, []byte(text), 0o600)
		return path
	}
	bad := write("timeline.toml", "socket = \"here\"\nstore_mb = 1\nbuffer = 7\ncolour = 1\n")
	code, _, errs := run("config", "check", bad)
	for _, want := range []string{"socket: ", "store_mb: ", "buffer: ", "colour: unknown key"} {
		if !strings.Contains(errs, bad+": "+want) {
			t.Errorf("no %q in %q", want, errs)
		}
	}
	if code != ExitFailure {
		t.Errorf("exit %d", code)
	}
	code, out, errs := run("config", "check",
		"../../examples/config.json", "../../deploy/timeline.toml", "../../deploy/xmpp.toml")
	if code != 0 || strings.Count(out, "good") != 3 {
		t.Errorf("%d, %q, %q", code, out, errs)
	}
	code, _, errs = run("config", "check", write("x.toml", "nothing = 1\n"))
	if code != ExitFailure || !strings.Contains(errs, "no key says what it is for") {
		t.Errorf("%d, %q", code, errs)
	}
}

// A script sends and waits as its steps say, and an error names the step.
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
	code, out, errs := run("client", l.Addr().String(), "--script", script)
	if code != 0 || out != "> PING\n< NOISE\n< PONG 7\n" {
		t.Errorf("%d, %q, %q", code, out, errs)
	}
	os.WriteFile(script, []byte("> PING\n< NEVER\n"), 0o600)
	code, _, errs = run("client", l.Addr().String(), "--script", script, "--within", "50ms")
	if code != ExitFailure || !strings.Contains(errs, script+":2: waiting for NEVER") {
		t.Errorf("%d, %q", code, errs)
	}
}

// A reader that hangs on the socket is disconnected, others are answered, and the socket is its owner's only.
func TestControlSocket(t *testing.T) {
	path := filepath.Join(t.TempDir(), "c.sock")
	s, err := control.Listen(path, control.Sources{}, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	if info, _ := os.Stat(path); info.Mode().Perm() != 0o600 {
		t.Errorf("mode %o", info.Mode().Perm())
	}
	if _, err := control.Listen(path, control.Sources{}, zerolog.Nop()); err == nil {
		t.Error("two daemons on one socket")
	}
	var hanging []net.Conn
	for range 40 { // more than are served at once; they send nothing
		if conn, err := net.Dial("unix", path); err == nil {
			hanging = append(hanging, conn)
		}
	}
	ok := false
	end := time.Now().Add(30 * time.Second)
	for ; !ok && time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		code, _, _ := run("timeline", "list", "--socket", path)
		ok = code == 0
	}
	if !ok {
		t.Error("those that hang keep the socket")
	}
	for _, c := range hanging {
		c.Close()
	}
}
