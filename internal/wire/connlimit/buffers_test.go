package connlimit

import (
	"errors"
	"testing"

	"github.com/rs/zerolog"

	"capersail/internal/relay"
)

// What each client may make the relay hold was bounded, and their sum was not: hundreds of clients together
// took the process over its memory limit. A small request must always be taken.
func TestMemoryOfAllClientsIsBounded(t *testing.T) {
	const clients, large = 300, 64 << 10
	l := New(relay.NewClock(), 1024, zerolog.Nop())
	l.SetBufferLimit(10 * large)
	held := 0
	var accounts []*BufferAccount
	for range clients {
		a := l.newBufferAccount()
		accounts = append(accounts, a)
		if err := a.Add(freeBufferBytes); err != nil {
			t.Fatalf("a small request beside %d clients: got error %v, want none", len(accounts), err)
		}
		err := a.Add(large)
		if err == nil {
			held += large
		} else if !errors.Is(err, ErrNoBuffer) {
			t.Fatalf("a large request: got error %v, want %v", err, ErrNoBuffer)
		}
	}
	if held != 10*large {
		t.Errorf("large requests of %d bytes are held, want %d", held, 10*large)
	}
	accounts[0].Add(-large) // forwarded
	accounts[1].close()     // disconnected
	for _, a := range accounts[clients-2:] {
		if err := a.Add(large); err != nil {
			t.Errorf("a large request after others have gone: got error %v, want none", err)
		}
	}
	if err := accounts[2].Add(1); !errors.Is(err, ErrNoBuffer) {
		t.Errorf("one byte over the limit: got error %v, want %v", err, ErrNoBuffer)
	}
	for _, a := range accounts {
		a.close()
		a.close()
	}
	if l.buffers.reserved != 0 {
		t.Errorf("%d bytes are reserved after all clients have gone, want 0", l.buffers.reserved)
	}
}
