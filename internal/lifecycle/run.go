package lifecycle

import (
	"context"
	"fmt"
	"os"
	"sync"
	"syscall"

	"github.com/rs/zerolog"

	"capersail/internal/admin"
)

// Sources say where the configuration comes from.
type Sources struct {
	Getenv   func(string) string // for LB_CONFIG, which names the platform's file, and what stands in for its keys
	XMPP     string              // the operator's file for the XMPP front; off if empty
	Resume   string              // the operator's file for moving with a token; off if empty
	Timeline string              // the operator's file for time lines; off if empty
	Members  string              // the operator's file for relays that know each other; off if empty
}

// Run serves until SIGTERM or SIGINT, then moves everyone, answers what is held, and returns. At SIGHUP
// it reads its files again. Either of the two fronts may be absent.
func Run(ctx context.Context, from Sources, signals <-chan os.Signal, log zerolog.Logger) error {
	var c *Config
	var o *XMPPConfig
	var err error
	if from.XMPP != "" {
		if o, err = ReadXMPPConfig(from.XMPP); err != nil {
			return err
		}
	}
	if from.XMPP == "" || from.Getenv("LB_CONFIG") != "" {
		if c, err = ReadConfig(from.Getenv, log); err != nil {
			return err
		}
	}
	all, err := readParts(from, c, log)
	if err != nil {
		return err
	}
	applyRuntimeLimits(c)
	ctx, stop := context.WithCancel(ctx)
	defer all.stop()
	defer stop()

	var relays []*runningFront
	failed := make(chan error, 2)
	add := func(r *runningFront, err error) error {
		if err != nil {
			return err
		}
		relays = append(relays, r)
		go func() { failed <- <-r.serveFailed }()
		return nil
	}
	if c != nil {
		if err := add(startPlatform(ctx, from, c, all, log)); err != nil {
			return err
		}
	}
	if o != nil {
		if err := add(startXMPP(ctx, from, o, all, log)); err != nil {
			return fmt.Errorf("xmpp: %w", err)
		}
	}
	if err := all.start(ctx); err != nil {
		return err
	}
	if c != nil && c.Admin != "" {
		o, err := startAdmin(ctx, c.Admin, relays, []admin.Front{{Source: relays[0].requests, Classes: classNames(c.Deployment)}}, all.metrics(), log)
		if err != nil {
			return err
		}
		o.serving.Store(true)
	}
	if err := waitForShutdown(ctx, relays, all, signals, failed, log); err != nil {
		return err
	}
	left := make(chan struct{})
	go func() {
		var fronts sync.WaitGroup
		for _, r := range relays {
			fronts.Go(func() {
				if r.inherited { // the successor accepts from the same queue: nothing that comes is turned back
					// Not waited for: where whoever else holds the socket has made it blocking, an accept in
					// progress holds the close until a connection comes.
					go r.listener.Close()
				}
				shutDownFront(r)
				r.listener.Close()
			})
		}
		fronts.Wait()
		all.leave()
		close(left)
	}()
	for {
		select {
		case s := <-signals:
			log.Info().Str("signal", s.String()).Msg("leaving already; ignored")
		case <-left:
			log.Info().Msg("done")
			return nil
		}
	}
}

// waitForShutdown follows signals until it is time to leave. A file that cannot be used changes nothing.
func waitForShutdown(ctx context.Context, relays []*runningFront, all partList, signals <-chan os.Signal, failed <-chan error, log zerolog.Logger) error {
	for {
		select {
		case s := <-signals:
			if s != syscall.SIGHUP {
				log.Info().Str("signal", s.String()).Msg("leaving")
				return nil
			}
			for _, r := range relays {
				if err := r.reload(); err != nil {
					log.Error().Err(err).Msg("the new configuration cannot be used; the old one stays in force")
				}
			}
			all.reload(log)
		case <-ctx.Done():
			return nil
		case err := <-failed:
			return fmt.Errorf("accept: %w", err)
		}
	}
}
