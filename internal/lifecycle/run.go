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

// configRejectedMessage is the log message for a file that is rejected at SIGHUP.
const configRejectedMessage = "new configuration rejected, the old one stays in force: " +
	"correct the file and send SIGHUP again"

// Sources names the sources of the configuration.
type Sources struct {
	// Getenv returns the value of an environment variable: LB_CONFIG, which names the platform's file, or one
	// that is used for a key that is not in the file.
	Getenv func(string) string

	// The paths of the operators' files. A front or part without a file is off.

	XMPP     string // the XMPP front
	Resume   string // streams that are resumed with a token
	Timeline string // timelines of servers
	Members  string // membership of a fleet
}

// Run serves until SIGTERM or SIGINT. Then it migrates all clients, answers the pending requests, and
// returns. At SIGHUP it reads its files again. One of the two fronts may be off. The error is a
// *ConfigError, or that of a front or part that cannot start, or that of a listener that has failed.
func Run(ctx context.Context, sources Sources, signals <-chan os.Signal, log zerolog.Logger) error {
	p := &process{sources: sources, log: log, serveErr: make(chan error, 2)}
	if err := p.readConfigs(); err != nil {
		return err
	}
	applyRuntimeLimits(p.platform)
	ctx, stop := context.WithCancel(ctx)
	defer p.parts.stop()
	defer stop()
	if err := p.start(ctx); err != nil {
		return err
	}
	if err := p.handleSignals(ctx, signals); err != nil {
		return err
	}
	p.shutDown(signals)
	return nil
}

// process is the state of the relay's process: its configuration, fronts and parts.
type process struct {
	sources  Sources
	log      zerolog.Logger
	platform *Config     // nil if the platform's front is off
	xmpp     *XMPPConfig // nil if the XMPP front is off
	parts    partList

	fronts   []*runningFront
	admin    *adminRelay // nil if the admin address is off
	serveErr chan error  // receives the error that ended a front's listener
}

// readConfigs reads and checks all configuration files.
func (p *process) readConfigs() (err error) {
	if p.sources.XMPP != "" {
		if p.xmpp, err = ReadXMPPConfig(p.sources.XMPP); err != nil {
			return err
		}
	}
	if p.sources.XMPP == "" || p.sources.Getenv("LB_CONFIG") != "" {
		if p.platform, err = ReadConfig(p.sources.Getenv, p.log); err != nil {
			return err
		}
	}
	p.parts, err = readParts(p.sources, p.platform, p.log)
	return err
}

// start starts the fronts, which the parts join, then the parts, then the admin address. Connections are
// accepted last: a process that cannot start must not have taken any, as its end would reset them.
func (p *process) start(ctx context.Context) error {
	if err := p.startFronts(ctx); err != nil {
		return err
	}
	if err := p.parts.start(ctx); err != nil {
		return err
	}
	if err := p.startAdmin(ctx); err != nil {
		return err
	}
	for _, front := range p.fronts {
		front.startServing()
	}
	if p.admin != nil {
		p.admin.serving.Store(true)
	}
	return nil
}

// startFronts starts the fronts, which the parts join.
func (p *process) startFronts(ctx context.Context) error {
	upgrade := false
	if p.platform != nil {
		front, err := startPlatform(ctx, p.sources, p.platform, p.parts, p.log)
		if err != nil {
			return err
		}
		upgrade = front.inherited
		p.addFront(front)
	}
	if p.xmpp != nil {
		front, err := startXMPP(ctx, p.sources, p.xmpp, p.parts, upgrade, p.log)
		if err != nil {
			return fmt.Errorf("xmpp: %w", err)
		}
		p.addFront(front)
	}
	return nil
}

// startAdmin starts the admin address, if it is on.
func (p *process) startAdmin(ctx context.Context) (err error) {
	if p.platform == nil || p.platform.Admin == "" {
		return nil
	}
	sources := []admin.Front{{Source: p.fronts[0].requests, Classes: classNames(p.platform.Deployment)}}
	p.admin, err = startAdmin(ctx, p.platform.Admin, p.fronts, sources, p.parts.metrics(), p.log)
	return err
}

func (p *process) addFront(front *runningFront) {
	if p.platform != nil && p.platform.MemoryMB > 0 {
		front.limiter.SetBufferLimit(bufferLimit(p.platform.MemoryMB))
	}
	p.fronts = append(p.fronts, front)
	go func() { p.serveErr <- <-front.serveErr }()
}

// handleSignals reloads the configuration at SIGHUP, and returns nil when the relay has to shut down. The
// error is that of a listener that has failed.
func (p *process) handleSignals(ctx context.Context, signals <-chan os.Signal) error {
	for {
		select {
		case s := <-signals:
			if s != syscall.SIGHUP {
				p.log.Info().Str("signal", s.String()).Msg("draining: graceful shutdown began")
				return nil
			}
			p.reload()
		case <-ctx.Done():
			return nil
		case err := <-p.serveErr:
			return fmt.Errorf("accept: %w", err)
		}
	}
}

// reload has every front and part read its file again. A file that is rejected changes nothing.
func (p *process) reload() {
	for _, front := range p.fronts {
		if err := front.reload(); err != nil {
			p.log.Error().Err(err).Msg(configRejectedMessage)
		}
	}
	p.parts.reload(p.log)
}

// shutDown shuts down all fronts at once, and then has the parts leave. It ignores further signals.
func (p *process) shutDown(signals <-chan os.Signal) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		var fronts sync.WaitGroup
		for _, front := range p.fronts {
			fronts.Go(func() {
				if front.inherited {
					// The new process accepts from the same queue, so this one can stop accepting at once,
					// and no connection is rejected.
					go closeSharedListener(front.listener)
				}
				shutDownFront(front)
				front.listener.Close()
			})
		}
		fronts.Wait()
		p.parts.leave()
	}()
	for {
		select {
		case s := <-signals:
			p.log.Info().Str("signal", s.String()).Msg("already draining, signal ignored")
		case <-done:
			p.log.Info().Msg("graceful shutdown complete")
			return
		}
	}
}
