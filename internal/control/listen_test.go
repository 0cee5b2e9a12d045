package control

import (
	"errors"
	"io"
	"net"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"capersail/internal/observe/report"
)

// A daemon that is too busy to accept is alive. Its socket was taken for a dead one and removed, since any
// error of the connection stood for a dead process.
func TestSocketOfBusyDaemonIsInUse(t *testing.T) {
	path := filepath.Join(t.TempDir(), "c.sock")
	fd, err := syscall.Socket(syscall.AF_UNIX, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer syscall.Close(fd)
	if err := errors.Join(syscall.Bind(fd, &syscall.SockaddrUnix{Name: path}), syscall.Listen(fd, 0)); err != nil {
		t.Fatal(err)
	}
	for err == nil { // until the queue is full
		var conn net.Conn
		if conn, err = net.Dial("unix", path); err == nil {
			defer conn.Close()
		}
	}
	s, err := Listen(path, Sources{}, zerolog.Nop())
	if !errors.Is(err, ErrSocketInUse) {
		t.Errorf("got error %v, want %v", err, ErrSocketInUse)
	}
	if s != nil {
		s.Close()
	}
}

// Clients that send no complete query, or one that is too large, held all connections, and every other client
// was closed without an answer.
func TestIncompleteQueriesDoNotBlockOthers(t *testing.T) {
	for name, text := range map[string]string{
		"half a query":   `{"servers":["`,
		"too many names": `{"servers":["` + strings.Repeat(`","`, maxQueryBytes) + "\"]}\n",
	} {
		path := filepath.Join(t.TempDir(), "c.sock")
		s, err := Listen(path, Sources{}, zerolog.Nop())
		if err != nil {
			t.Fatal(err)
		}
		for range 5 * maxConnections {
			conn, err := net.Dial("unix", path)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			go io.WriteString(conn, text)
		}
		began := time.Now()
		_, err = QueryTimelines(path, report.Query{})
		if took := time.Since(began); err != nil || took > queryTimeout {
			t.Errorf("%s from %d clients: another's query got error %v after %v, want an answer within %v",
				name, 5*maxConnections, err, took, queryTimeout)
		}
		s.Close()
	}
}
