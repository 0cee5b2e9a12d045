package command

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"

	"capersail/internal/observe/chart"
	"capersail/internal/observe/report"
)

func (p *Program) demoCommand() *cobra.Command {
	var every time.Duration
	var picture, keep string
	c := &cobra.Command{Use: "demo", Short: "Run it all on loopback: discovery, servers, a relay, clients, a drain, a kill; then show the time line",
		Args: checkArguments(cobra.NoArgs), RunE: func(cmd *cobra.Command, _ []string) error {
			return p.runDemo(cmd.Context(), every, picture, keep)
		}}
	c.Flags().DurationVar(&every, "every", 5*time.Second, "time between two things that happen")
	c.Flags().StringVar(&picture, "picture", "", "also draw the time line into this `file`, PNG or SVG")
	c.Flags().StringVar(&keep, "store", "", "keep the time line in this `file`, for `capersail timeline --store`")
	return c
}

// runDemo runs the demo. The relay in it is the whole one, started as the program starts it.
func (p *Program) runDemo(ctx context.Context, every time.Duration, picture, keep string) error {
	if ctx == nil {
		ctx = context.Background()
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	if keep != "" {
		var err error
		if keep, err = filepath.Abs(keep); err != nil {
			return err
		}
	}
	dir, err := os.MkdirTemp("", "capersail-demo")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	site, err := startDemoDeployment(ctx, dir, keep)
	if err != nil {
		return err
	}
	defer site.killServers()
	p.printLine("a relay at %s, discovery, five servers, forty clients that watch scans and come back again and again", site.address)
	leave := site.startClients(ctx)
	defer leave()
	p.disturbServers(ctx, site, every)
	all, err := site.report()
	if err != nil {
		return err
	}
	p.printLine("\nits time line:\n")
	if err := all.WriteDrawing(p.Out, 60); err != nil {
		return err
	}
	if picture != "" {
		if err := drawReport(all, picture); err != nil {
			return err
		}
		p.printLine("drawn into %s", picture)
	}
	leave()
	return site.stop()
}

func (p *Program) printLine(format string, args ...any) { fmt.Fprintf(p.Out, format+"\n", args...) }

// disturbServers has one server drain, one die and one fall silent, in turn.
func (p *Program) disturbServers(ctx context.Context, site *demoDeployment, every time.Duration) {
	drained, killed, silent := site.servers[0], site.servers[1], site.servers[2]
	pause(ctx, every)
	p.printLine("server-0 drains: the list says so, and it sends its clients away")
	site.discovery.Set(drained.ID, drained.Address, "Terminating")
	drained.SetRejecting(true)
	for drained.MigrateOneIn(3) > 0 && ctx.Err() == nil {
		pause(ctx, every/20)
	}
	pause(ctx, every)
	p.printLine("server-1 is killed; the list does not know yet")
	killed.Kill()
	pause(ctx, every)
	p.printLine("server-2 falls silent, without a reset")
	silent.SetSilent(true)
	pause(ctx, 2*every)
	silent.SetSilent(false)
	site.discovery.Set(killed.ID, killed.Address, "Gone")
	pause(ctx, every)
}

// drawReport draws a time line into a file.
func drawReport(r report.Report, path string) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	if err := chart.Write(f, &r, filepath.Ext(path)[1:]); err != nil {
		f.Close()
		return err
	}
	return f.Close()
}

// pause waits, but not longer than the context lasts.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
