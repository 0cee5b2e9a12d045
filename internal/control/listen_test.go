package control

import (
	"errors"
	"net"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/rs/zerolog"
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
