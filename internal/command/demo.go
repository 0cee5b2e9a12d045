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
	var interval time.Duration
	var chartFile, storeFile string
	c := &cobra.Command{
		Use: "demo",
		Short: "Run discovery, servers, a relay and clients on loopback, with a drain and failures; " +
			"then show the time line",
		Args: validateArgs(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			return p.runDemo(cmd.Context(), interval, chartFile, storeFile)
		},
	}
	c.Flags().DurationVar(&interval, "every", 5*time.Second, "time between two events of the demo")
	c.Flags().StringVar(&chartFile, "picture", "", "also draw the time line to this `file`, PNG or SVG")
	c.Flags().StringVar(&storeFile, "store", "",
		"store the time line in this `file`, for `capersail timeline --store`")
	return c
}

// runDemo runs the demo: it starts a deployment, injects failures, prints the time line and, if chartFile is
// set, draws it. The demo's relay is the complete one, started by lifecycle.Run as the program starts it.
func (p *Program) runDemo(ctx context.Context, interval time.Duration, chartFile, storeFile string) error {
	if ctx == nil {
		ctx = context.Background()
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	if storeFile != "" {
		var err error
		if storeFile, err = filepath.Abs(storeFile); err != nil {
			return err
		}
	}
	dir, err := os.MkdirTemp("", "capersail-demo")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	deployment, err := startDemoDeployment(ctx, dir, storeFile)
	if err != nil {
		return err
	}
	defer deployment.killServers()
	p.printLine("started a relay at %s, discovery, five servers and forty clients that receive scans "+
		"and reconnect repeatedly", deployment.address)
	stopClients := deployment.startClients(ctx)
	defer stopClients()
	p.runFailures(ctx, deployment, interval)
	timelines, err := deployment.report()
	if err != nil {
		return err
	}
	p.printLine("\nthe relay's time line:\n")
	if err := timelines.WriteDrawing(p.Out, 60); err != nil {
		return err
	}
	if chartFile != "" {
		if err := drawReport(timelines, chartFile); err != nil {
			return err
		}
		p.printLine("time line drawn to %s", chartFile)
	}
	stopClients()
	return deployment.stop()
}

func (p *Program) printLine(format string, args ...any) {
	fmt.Fprintf(p.Out, format+"\n", args...)
}

// runFailures drains one server, kills another and makes a third stop responding, in this order, and prints
// each event.
func (p *Program) runFailures(ctx context.Context, deployment *demoDeployment, interval time.Duration) {
	drained := deployment.servers[0]
	killed := deployment.servers[1]
	silent := deployment.servers[2]
	sleepContext(ctx, interval)
	p.printLine("server-0 drains: the endpoint list marks it as terminating, and it migrates its clients")
	deployment.discovery.Set(drained.ID, drained.Address, "Terminating")
	drained.SetRejecting(true)
	for drained.MigrateOneIn(3) > 0 && ctx.Err() == nil {
		sleepContext(ctx, interval/20)
	}
	sleepContext(ctx, interval)
	p.printLine("server-1 is killed; the endpoint list still has it as ready")
	killed.Kill()
	sleepContext(ctx, interval)
	p.printLine("server-2 stops responding; its connections stay open")
	silent.SetSilent(true)
	sleepContext(ctx, 2*interval)
	silent.SetSilent(false)
	deployment.discovery.Set(killed.ID, killed.Address, "Gone")
	sleepContext(ctx, interval)
}

// drawReport draws a time line to a file, as PNG or SVG by the file name's extension.
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

// sleepContext returns after d or when the context ends, whichever is first.
func sleepContext(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
