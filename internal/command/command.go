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

// The exit codes, 0 aside.
const (
	ExitFailure  = 1 // a configuration that cannot be used, or what was to be done could not be
	ExitUsage    = 2 // the command line
	ExitNoAnswer = 3 // no relay answers, and no store has what is asked for
)

// exitError is an error with its exit code.
type exitError struct {
	code int
	error
}

func (e exitError) Unwrap() error { return e.error }

// Program is what a command has of the process that it runs in.
type Program struct {
	In       io.Reader
	Out, Err io.Writer
	Getenv   func(string) string
	Signals  <-chan os.Signal // that end the relay, or have it reload
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
	return ExitFailure
}

// doubleDashes returns arguments in which flags of the first versions, written with one dash, have two.
func doubleDashes(args []string) []string {
	out := make([]string, len(args))
	for i, a := range args {
		out[i] = a
		if strings.HasPrefix(a, "-xmpp") || strings.HasPrefix(a, "-resume") {
			out[i] = "-" + a
		}
	}
	return out
}

// usageError returns an error of the command line, nil for nil.
func usageError(err error) error {
	if err == nil {
		return nil
	}
	return exitError{ExitUsage, err}
}

// checkArguments has what a check of arguments says be an error of the command line.
func checkArguments(check cobra.PositionalArgs) cobra.PositionalArgs {
	return func(cmd *cobra.Command, args []string) error { return usageError(check(cmd, args)) }
}

// rootCommand returns the program's command, which serves, with all others below it.
func (p *Program) rootCommand() *cobra.Command {
	root := p.serveCommand("capersail", "A relay for long-lived connections")
	root.Long = root.Short + ". Without a command it serves, as LB_CONFIG and the flags say."
	root.SilenceUsage = true
	root.SilenceErrors = true
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usageError(err) })
	root.AddCommand(
		p.serveCommand("serve", "Serve, as LB_CONFIG and the flags say"),
		p.demoCommand(),
		p.configCommand(),
		p.timelineCommand(),
		p.membersCommand(),
		p.fleetCommand(),
		p.clientCommand(),
		p.versionCommand(),
	)
	return root
}

// serveCommand returns a command that runs the relay.
func (p *Program) serveCommand(use, short string) *cobra.Command {
	var sources lifecycle.Sources
	var level, format string
	c := &cobra.Command{
		Use:   use,
		Short: short,
		Args:  checkArguments(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			log, err := p.logger(level, format)
			if err != nil {
				return err
			}
			sources.Getenv = p.Getenv
			return lifecycle.Run(cmd.Context(), sources, p.Signals, log)
		},
	}
	flags := c.Flags()
	flags.StringVar(&sources.XMPP, "xmpp", "", "operator's `file` for the XMPP front; off without it")
	flags.StringVar(&sources.Resume, "resume", "", "operator's `file` for resume tokens; off without it")
	flags.StringVar(&sources.Timeline, "timeline", "", "operator's `file` for time lines; off without it")
	flags.StringVar(&sources.Members, "members", "",
		"operator's `file` for relays that know each other; off without it")
	flags.StringVar(&level, "log-level", "info", "least `level` that is logged: debug, info, warn, error")
	flags.StringVar(&format, "log-format", "json", "json or text")
	return c
}

// logger returns the relay's log on standard error.
func (p *Program) logger(level, format string) (zerolog.Logger, error) {
	l, err := zerolog.ParseLevel(level)
	if err != nil {
		return zerolog.Nop(), usageError(fmt.Errorf("log-level: %q is no level", level))
	}
	out := p.Err
	switch format {
	case "json":
	case "text":
		out = zerolog.ConsoleWriter{Out: p.Err, NoColor: true, TimeFormat: "15:04:05.000"}
	default:
		return zerolog.Nop(), usageError(fmt.Errorf("log-format: %q is neither json nor text", format))
	}
	return zerolog.New(out).Level(l).With().Timestamp().Logger(), nil
}

func (p *Program) versionCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  checkArguments(cobra.NoArgs),
		Run: func(*cobra.Command, []string) {
			fmt.Fprintln(p.Out, "capersail", versionText())
		},
	}
}

// versionText returns what the build says of itself.
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
