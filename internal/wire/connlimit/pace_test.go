package connlimit

import (
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"capersail/internal/relay"
)

// admit returns the permit of a new connection.
func admit(t *testing.T, l *Limiter) *Permit {
	client, conn := net.Pipe()
	t.Cleanup(func() { client.Close() })
	permit := l.Admit(conn)
	t.Cleanup(permit.release)
	return permit
}

// Clients that send at full speed, one or hundreds, shared the processor with the others by chance, and the
// others' answers came late. Together they must be held to a rate, while an ordinary client is never paused.
func TestClientsAtFullSpeedAreHeldToARate(t *testing.T) {
	const period = 10 * time.Second
	for _, clients := range []int{1, 300} {
		synctest.Test(t, func(t *testing.T) {
			l := New(relay.NewClock(), 1024, zerolog.Nop())
			began := time.Now()
			processed := make(chan int, clients)
			for range clients {
				permit := admit(t, l)
				go func() {
					lines := 0
					for ; time.Since(began) < period; lines++ {
						permit.Pace(1, 0)
					}
					processed <- lines
				}()
			}
			ordinary := admit(t, l)
			for time.Since(began) < period {
				before := time.Now()
				ordinary.Pace(1, 4096)
				if waited := time.Since(before); waited > 0 {
					t.Errorf("an ordinary client beside %d at full speed waited %v, want 0", clients, waited)
				}
				time.Sleep(2 * time.Second)
			}
			total, last := 0, clients // the last line of each may come after the period
			for range clients {
				total += <-processed
			}
			seconds := int(period.Seconds())
			most := clients*(ownUnitsBurst+seconds*ownUnitsPerSecond) + sharedUnitsBurst +
				seconds*sharedUnitsPerSecond + last
			if total > most {
				t.Errorf("%d clients had %d lines processed in %v, want at most %d", clients, total, period, most)
			}
		})
	}
}

// A client that is paused must be reachable: the pause ends when its connection is woken or closed.
func TestPauseEndsWithAWake(t *testing.T) {
	for name, end := range map[string]func(*Permit){
		"wake":      func(p *Permit) { p.Conn.Wake() },
		"close":     func(p *Permit) { p.Conn.Close(relay.AbortiveClose) },
		"close now": func(p *Permit) { p.Conn.CloseNow() },
	} {
		synctest.Test(t, func(t *testing.T) {
			l := New(relay.NewClock(), 1024, zerolog.Nop())
			permit := admit(t, l)
			l.sharedRate.ReserveN(time.Now(), sharedUnitsBurst)
			permit.Pace(ownUnitsBurst, 0)
			began := time.Now()
			time.AfterFunc(time.Millisecond, func() { end(permit) })
			permit.Pace(sharedUnitsBurst, 0)
			if waited := time.Since(began); waited != time.Millisecond {
				t.Errorf("%s after 1 ms: the pause took %v, want 1 ms", name, waited)
			}
		})
	}
}
