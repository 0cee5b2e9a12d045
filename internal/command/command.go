// Package command is the command line. Errors are one line on standard error; the exit code says what kind it is.
package command

import (
	"errors"
	"fmt"
	"io"
	"os"
	"runtime/debug"
	"strings"

	"github.com/rs/zerolog"
	"github.com/spf13/cobra"

	"capersail/internal/lifecycle"
)

// The exit codes.
const (
	Failed   = 1 // a configuration that cannot be used, or what was to be done could not be
	Usage    = 2 // the command line
	NoAnswer = 3 // no relay answers, and no store has what is asked for
)

// exitError is an error with its exitError code.
type exitError struct {
	code int
	error
}

func (e exitError) Unwrap() error { return e.error }

// Program is where a command runs.
type Program struct {
	In       io.Reader
	Out, Err io.Writer
	Getenv   func(string) string
	Signals  <-chan os.Signal
}

// Main runs a command line and returns the exit code.
func Main(args []string, p *Program) int {
	root := p.rootCommand()
	root.SetArgs(doubleDashes(args))
	root.SetIn(p.In)
	root.SetOut(p.Out)
	root.SetErr(p.Err)
	err := root.Execute()
	if err == nil {
		return 0
	}
	for _, line := range strings.Split(strings.TrimSpace(err.Error()), "\n") {
		fmt.Fprintln(p.Err, "capersail:", line)
	}
	var e exitError
	if errors.As(err, &e) {
		return e.code
	}
	return Failed
}

// doubleDashes lets flags of the first versions be written with one dash still.
func doubleDashes(args []string) []string {
	out := make([]string, len(args))
	for i, a := range args {
		if out[i] = a; strings.HasPrefix(a, "-xmpp") || strings.HasPrefix(a, "-resume") {
			out[i] = "-" + a
		}
	}
	return out
}

func usageError(err error) error {
	if err == nil {
		return nil
	}
	return exitError{Usage, err}
}

// checkArguments makes a wrong number of checkArguments a matter of usage.
func checkArguments(check cobra.PositionalArgs) cobra.PositionalArgs {
	return func(cmd *cobra.Command, args []string) error { return usageError(check(cmd, args)) }
}

func (p *Program) rootCommand() *cobra.Command {
	var from lifecycle.Sources
	var level, format string
	serve := func(cmd *cobra.Command, _ []string) error {
		l, err := zerolog.ParseLevel(level)
		if err != nil {
			return usageError(fmt.Errorf("log-level: %q is no level", level))
		}
		var out io.Writer = p.Err
		switch format {
		case "json":
		case "text":
			out = zerolog.ConsoleWriter{Out: p.Err, NoColor: true, TimeFormat: "15:04:05.000"}
		default:
			return usageError(fmt.Errorf("log-format: %q is neither json nor text", format))
		}
		from.Getenv = p.Getenv
		return lifecycle.Run(cmd.Context(), from, p.Signals, zerolog.New(out).Level(l).With().Timestamp().Logger())
	}
	flags := func(c *cobra.Command) *cobra.Command {
		c.Flags().StringVar(&from.XMPP, "xmpp", "", "operator's `file` for the XMPP front; off without it")
		c.Flags().StringVar(&from.Resume, "resume", "", "operator's `file` for moving with a token; off without it")
		c.Flags().StringVar(&from.Timeline, "timeline", "", "operator's `file` for time lines; off without it")
		c.Flags().StringVar(&from.Members, "members", "", "operator's `file` for relays that know each other; off without it")
		c.Flags().StringVar(&level, "log-level", "info", "least `level` that is logged: debug, info, warn, error")
		c.Flags().StringVar(&format, "log-format", "json", "json or text")
		return c
	}
	root := flags(&cobra.Command{
		Use:           "capersail",
		Short:         "A relay for long-lived connections",
		Long:          "A relay for long-lived connections. Without a command it serves, as LB_CONFIG and the flags say.",
		Args:          checkArguments(cobra.NoArgs),
		RunE:          serve,
		SilenceUsage:  true,
		SilenceErrors: true,
	})
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usageError(err) })
	root.AddCommand(
		flags(&cobra.Command{Use: "serve", Short: "Serve, as LB_CONFIG and the flags say", Args: checkArguments(cobra.NoArgs), RunE: serve}),
		p.demoCommand(), p.configCommand(), p.timelineCommand(), p.membersCommand(), p.fleetCommand(), p.clientCommand(),
		&cobra.Command{Use: "version", Short: "Print the version", Args: checkArguments(cobra.NoArgs), Run: func(_ *cobra.Command, _ []string) {
			fmt.Fprintln(p.Out, "capersail", versionText())
		}},
	)
	return root
}

// versionText is what the build says of itself.
func versionText() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	v := info.Main.Version
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			v += " " + s.Value
		}
	}
	return v + " " + info.GoVersion
}
