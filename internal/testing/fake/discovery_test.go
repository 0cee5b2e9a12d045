package fake

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"
)

// openWatch opens a watch and returns its connection and a reader positioned at the start of the response
// body.
func openWatch(t *testing.T, d *Discovery) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", d.Address)
	if err != nil {
		t.Fatal(err)
	}
	c.SetDeadline(time.Now().Add(20 * time.Second))
	fmt.Fprint(c, "GET /?watch=1 HTTP/1.1\r\n\r\n")
	in := bufio.NewReader(c)
	for line := "-"; strings.TrimSpace(line) != ""; {
		if line, err = in.ReadString('\n'); err != nil {
			t.Fatal(err)
		}
	}
	return c, in
}

// nextGeneration returns the generation of the next message. It skips heartbeats.
func nextGeneration(t *testing.T, in *bufio.Reader) int {
	t.Helper()
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			t.Fatal(err)
		}
		if !strings.HasPrefix(line, "{") {
			continue
		}
		var message struct {
			Generation int `json:"generation"`
		}
		if err := json.Unmarshal([]byte(line), &message); err != nil {
			t.Fatal(err)
		}
		return message.Generation
	}
}

// A watch delivers every change after its snapshot. Guards against a fake that loses changes made between the
// snapshot and the first event, which would hide that a relay is not notified.
func TestWatchMissesNoChangeAfterItsSnapshot(t *testing.T) {
	d, err := NewDiscovery("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	changing := make(chan struct{})
	stop := make(chan struct{})
	go func() {
		defer close(changing)
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			default:
				d.Set("s", "127.0.0.1:1", []string{"Ready", "Terminating"}[i%2])
				time.Sleep(20 * time.Microsecond)
			}
		}
	}()
	for range 300 {
		c, in := openWatch(t, d)
		first := nextGeneration(t, in)
		if next := nextGeneration(t, in); next != first+1 {
			t.Errorf("the snapshot has generation %d and the first event %d; want consecutive ones", first, next)
		}
		c.Close()
	}
	close(stop)
	<-changing
}

// A watch that is not read delays no change and is ended. Guards against one stopped relay that blocks the
// endpoint list for all others.
func TestWatchThatIsNotReadHoldsUpNothing(t *testing.T) {
	d, err := NewDiscovery("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c, in := openWatch(t, d)
	nextGeneration(t, in)
	changed := make(chan struct{})
	go func() {
		defer close(changed)
		long := strings.Repeat("x", 64<<10)
		for range 10 * watchQueueLength {
			d.Set("s", long, "Ready")
		}
	}()
	select {
	case <-changed:
	case <-time.After(10 * time.Second):
		t.Fatal("Discovery.Set blocked for 10 s because a watch is not read")
	}
	for buffer := make([]byte, 1<<20); err == nil; {
		_, err = c.Read(buffer)
	}
	if netErr, ok := err.(net.Error); ok && netErr.Timeout() {
		t.Error("the watch that was not read is still open")
	}
}
