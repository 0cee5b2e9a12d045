package cluster

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"strings"
	"sync"
	"time"
)

const (
	soakStreamInterval = 5 // one accepted connection of so many goes on being used
	// soakBurstRequests is how many requests a crowd sends: soakCrowdAtOnce at once, the others at soakCrowdRate.
	soakBurstRequests    = 1500
	soakBurstAtOnce      = 300
	soakBurstRate        = 4 * soakRate
	soakBurstFirstNumber = 1 << 20 // the number of its first request
)

// sendRequest sends one request and records what became of it.
func (s *soak) sendRequest(ctx context.Context, n int, rng *rand.Rand) {
	relay := rng.IntN(soakRelays)
	if !s.acceptsClients[relay].Load() {
		return
	}
	class := rng.IntN(len(soakClasses))
	r := Request{ID: fmt.Sprintf("q%d", n), Relay: relay, Idempotency: soakIdempotency[class]}
	defer func() { s.checker.RecordRequest(r) }()
	conn, err := net.DialTimeout("tcp", s.Relays[relay].Listen, time.Second)
	if err != nil {
		return
	}
	defer conn.Close()
	line := fmt.Sprintf("OPEN %s %x c=%s,t=acme,d=%d\r\n",
		r.ID, rng.Uint64(), soakClasses[class]["name"], requestDeadline.Milliseconds())
	if !writeInPieces(conn, line, rng) {
		return
	}
	r.SentAt = Now()
	waitLimit := requestDeadline + 2*time.Second
	leaves := rng.IntN(8) == 0
	if leaves {
		waitLimit = drawTime(rng, 0, 400*time.Millisecond)
	}
	conn.SetReadDeadline(time.Now().Add(waitLimit))
	in := bufio.NewReader(conn)
	answer, err := in.ReadString('\n')
	r.AnsweredAt = Now()
	r.Answer, _, _ = strings.Cut(strings.TrimSpace(answer), " ")
	if leaves && err != nil {
		r.ClosedAt = Now()
		return
	}
	switch {
	case r.Answer != "UP":
	case rng.IntN(soakStreamInterval) == 0:
		stream := Stream{ID: r.ID, Relay: relay}
		useStream(ctx, conn, in, &stream, drawTime(rng, time.Second, 9*time.Second), rng)
		s.checker.RecordStream(stream)
	default:
		conn.SetReadDeadline(time.Now().Add(drawTime(rng, 200*time.Millisecond, 1700*time.Millisecond)))
		for err == nil && ctx.Err() == nil {
			_, err = in.ReadString('\n')
		}
	}
}

// useStream sends lines on an accepted connection, and waits for the echo of each, until the client leaves
// after a time, the relay moves it, or it ends.
func useStream(
	ctx context.Context, conn net.Conn, in *bufio.Reader, stream *Stream, length time.Duration, rng *rand.Rand,
) {
	defer func() { stream.EndedAt = Now() }()
	leaveAt := time.Now().Add(length)
	for n := 0; ctx.Err() == nil && time.Now().Before(leaveAt); n++ {
		line := fmt.Sprintf("M %d %s\r\n", n, stream.ID)
		sentAt := Now()
		fmt.Fprint(conn, line) // whatever its end, the read meets it
		conn.SetReadDeadline(time.Now().Add(5 * echoLimit))
		got, err := in.ReadString('\n')
		switch took := Now() - sentAt; {
		case strings.TrimSpace(got) == "MOVE":
			stream.Ending = Migrated
			return
		case errors.Is(err, os.ErrDeadlineExceeded):
			stream.LateEcho = took
			return
		case err != nil:
			stream.Ending = ClosedWithoutMove
			return
		case took > echoLimit:
			stream.LateEcho = max(stream.LateEcho, took)
		}
		time.Sleep(drawTime(rng, 20*time.Millisecond, 300*time.Millisecond))
	}
}

// sendBurst sends many requests at once and then, for a while, several times the ordinary rate, as clients do
// that come back after an outage.
func (s *soak) sendBurst(ctx context.Context, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 3))
	var clients sync.WaitGroup
	defer clients.Wait()
	send := func(n int) {
		own := rand.New(rand.NewPCG(seed, 1<<40+uint64(n)))
		clients.Go(func() { s.sendRequest(ctx, soakBurstFirstNumber+n, own) })
	}
	time.Sleep(drawTime(rng, 4*time.Second, 8*time.Second))
	s.countFault("crowd")
	for n := range soakBurstRequests {
		if n >= soakBurstAtOnce {
			time.Sleep(time.Duration(rng.ExpFloat64() / soakBurstRate * float64(time.Second)))
		}
		send(n)
	}
}

// writeInPieces writes a line, one in four with a pause within it, and reports whether all of it was written.
func writeInPieces(conn net.Conn, line string, rng *rand.Rand) bool {
	if rng.IntN(4) == 0 {
		cut := rng.IntN(len(line))
		fmt.Fprint(conn, line[:cut])
		time.Sleep(drawTime(rng, 0, 60*time.Millisecond))
		line = line[cut:]
	}
	_, err := fmt.Fprint(conn, line)
	return err == nil
}

// sendLoad sends requests until the context ends, and waits for the last of them.
func (s *soak) sendLoad(ctx context.Context, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 1))
	var clients sync.WaitGroup
	defer clients.Wait()
	for n := 0; ctx.Err() == nil; n++ {
		time.Sleep(time.Duration(rng.ExpFloat64() / soakRate * float64(time.Second)))
		own := rand.New(rand.NewPCG(seed, uint64(n)+2))
		clients.Go(func() { s.sendRequest(ctx, n, own) })
	}
}
