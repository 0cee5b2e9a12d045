package plugin

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

// serverFrames are what a server sends on a connection, frame by frame: SETTINGS, its acknowledgement, PING
// and DATA.
var serverFrames = [][]byte{
	{0, 0, 6, 4, 0, 0, 0, 0, 0, 0, 3, 0, 0, 0, 100},
	{0, 0, 0, 4, 1, 0, 0, 0, 0},
	{0, 0, 8, 6, 0, 0, 0, 0, 0, 1, 2, 3, 4, 5, 6, 7, 8},
	{0, 0, 5, 0, 0, 0, 0, 0, 1, 'h', 'e', 'l', 'l', 'o'},
}

const never = -1

// eventOrder is an order of events on a connection. The preface and the drain come before the piece with that
// number, while a read is pending.
type eventOrder struct {
	pieces           [][]byte // of what the server sends
	prefaceAt, drain int      // never for a drain that does not come
}

func (o eventOrder) String() string {
	var lengths []int
	for _, piece := range o.pieces {
		lengths = append(lengths, len(piece))
	}
	return fmt.Sprintf("pieces of %d bytes, preface before %d, drain before %d", lengths, o.prefaceAt, o.drain)
}

// play returns all that the client reads. A read is pending at each event.
func (o eventOrder) play() (received []byte) {
	client, server := net.Pipe()
	conn := &placedConn{Conn: client, drainTimeout: time.Hour}
	reader := make(chan []byte)
	go func() {
		all, _ := io.ReadAll(conn) // the error is that of the server's close
		reader <- all
	}()
	go io.Copy(io.Discard, server)
	for i := range len(o.pieces) + 1 {
		synctest.Wait()
		if i == o.prefaceAt {
			conn.Write(append(clientPreface, "\r\nSM\r\n\r\n"...))
		}
		synctest.Wait()
		if i == o.drain {
			conn.beginDrain()
		}
		synctest.Wait()
		if i < len(o.pieces) {
			server.Write(o.pieces[i])
		}
	}
	synctest.Wait()
	server.Close()
	if conn.drainTimer != nil {
		conn.drainTimer.Stop()
	}
	return <-reader
}

// goAwayPosition returns where in the server's bytes the GOAWAY must be: at the first end of a frame once the
// server's SETTINGS have been read, the preface has been written and the connection drains.
func (o eventOrder) goAwayPosition() int {
	sent := 0
	earliest := 0
	for i := range len(o.pieces) + 1 {
		if i == o.prefaceAt || i == o.drain {
			earliest = sent
		}
		if i < len(o.pieces) {
			sent += len(o.pieces[i])
		}
	}
	end := 0
	for _, frame := range serverFrames {
		if end += len(frame); end >= earliest {
			return end
		}
	}
	return never
}

// check plays an order and compares what the client reads with what the server sent, and with the GOAWAY.
func (o eventOrder) check(t *testing.T) {
	t.Helper()
	sent := slices.Concat(o.pieces...)
	want := sent
	if o.drain != never {
		at := o.goAwayPosition()
		want = slices.Concat(sent[:at], goAwayFrame, sent[at:])
	}
	if got := o.play(); !bytes.Equal(got, want) {
		t.Fatalf("%v: client read\n%v, want\n%v", o, got, want)
	}
}

// gRPC's first read is pending before it writes the preface. A read that returned more than a frame's header
// then ended the client's process with a panic.
func TestReadPendingAtPrefaceKeepsFrames(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sent := slices.Concat(serverFrames...)
		eventOrder{pieces: [][]byte{sent}, prefaceAt: 0, drain: never}.check(t)
		eventOrder{pieces: [][]byte{sent[:15], sent[15:]}, prefaceAt: 0, drain: never}.check(t)
		eventOrder{pieces: [][]byte{sent[:15], sent[15:]}, prefaceAt: 1, drain: never}.check(t)
	})
}

// Wherever the server's bytes are cut and whenever the preface and the drain come, the client must read every
// byte of the server, and one GOAWAY at the first end of a frame. A GOAWAY elsewhere breaks the connection
// with its calls, and one that is late lets new calls go to a draining server.
func TestGoAwayIsInsertedInEveryOrder(t *testing.T) {
	sent := slices.Concat(serverFrames...)
	for first := range len(sent) {
		for second := first; second <= len(sent); second += 5 {
			pieces := slices.DeleteFunc([][]byte{sent[:first], sent[first:second], sent[second:]},
				func(piece []byte) bool { return len(piece) == 0 })
			synctest.Test(t, func(t *testing.T) {
				for prefaceAt := range len(pieces) + 1 {
					for drain := never; drain <= len(pieces); drain++ {
						eventOrder{pieces, prefaceAt, drain}.check(t)
					}
				}
			})
		}
	}
}

// gRPC bounds its last read of a connection that it closes by a deadline. While the connection drained, that
// deadline was taken for the interruption of a read and removed, and the read did not return.
func TestReadDeadlineHoldsDuringDrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client, server := net.Pipe()
		defer server.Close()
		conn := &placedConn{Conn: client, drainTimeout: time.Hour}
		read := make(chan error, 1)
		go func() {
			_, err := conn.Read(make([]byte, 1))
			read <- err
		}()
		synctest.Wait()
		conn.beginDrain()
		defer conn.drainTimer.Stop()
		synctest.Wait()
		conn.SetReadDeadline(time.Now().Add(time.Second))
		select {
		case err := <-read:
			if !errors.Is(err, os.ErrDeadlineExceeded) || conn.serverClosed {
				t.Errorf("read beyond its deadline: got error %v, server closed %v; want a time-out and false",
					err, conn.serverClosed)
			}
		case <-time.After(time.Minute):
			t.Error("read beyond its deadline on a draining connection has not returned")
			server.Close()
			<-read
		}
	})
}
