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
	c := &cobra.Command{
		Use: "demo",
		Short: "Run it all on loopback: discovery, servers, a relay, clients, a drain, a kill; " +
			"then show the time line",
		Args: checkArguments(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			return p.runDemo(cmd.Context(), every, picture, keep)
		},
	}
	c.Flags().DurationVar(&every, "every", 5*time.Second, "time between two things that happen")
	c.Flags().StringVar(&picture, "picture", "", "also draw the time line into this `file`, PNG or SVG")
	c.Flags().StringVar(&keep, "store", "",
		"keep the time line in this `file`, for `capersail timeline --store`")
	return c
}

// runDemo runs the demo. Its relay is the complete one, started as the program starts it.
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
	deployment, err := startDemoDeployment(ctx, dir, keep)
	if err != nil {
		return err
	}
	defer deployment.killServers()
	p.printLine("a relay at %s, discovery, five servers, forty clients that watch scans "+
		"and come back again and again", deployment.address)
	leave := deployment.startClients(ctx)
	defer leave()
	p.disturbServers(ctx, deployment, every)
	all, err := deployment.report()
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
	return deployment.stop()
}

func (p *Program) printLine(format string, args ...any) {
	fmt.Fprintf(p.Out, format+"\n", args...)
}

// disturbServers drains one server, kills one and has one fall silent, in turn.
func (p *Program) disturbServers(ctx context.Context, deployment *demoDeployment, every time.Duration) {
	drained := deployment.servers[0]
	killed := deployment.servers[1]
	silent := deployment.servers[2]
	pause(ctx, every)
	p.printLine("server-0 drains: the list says so, and it sends its clients away")
	deployment.discovery.Set(drained.ID, drained.Address, "Terminating")
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
	deployment.discovery.Set(killed.ID, killed.Address, "Gone")
	pause(ctx, every)
}

// drawReport draws a time line into a file, PNG or SVG by its name.
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

// pause waits for a time, or until the context ends.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
