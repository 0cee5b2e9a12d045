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

// Exit codes for errors. The exit code of a command that succeeds is 0.
const (
	ExitFailure  = 1 // invalid configuration, or the command failed
	ExitUsage    = 2 // invalid command line
	ExitNoAnswer = 3 // no relay answers, and no store has the requested data
)

// exitError is an error with the exit code that Main returns for it.
type exitError struct {
	code int
	error
}

func (e exitError) Unwrap() error { return e.error }

// Program holds the standard streams, the environment and the signals of the process that runs a command.
type Program struct {
	In       io.Reader
	Out, Err io.Writer
	Getenv   func(string) string
	Signals  <-chan os.Signal // shut the relay down or make it reload its configuration
}

// Main runs the command that args name, prints its error to p.Err and returns the exit code.
func Main(args []string, p *Program) int {
	root := p.rootCommand()
	root.SetArgs(normalizeLegacyFlags(args))
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

// normalizeLegacyFlags returns a copy of args in which the flags -xmpp and -resume, which the first versions
// accepted with a single dash, have two dashes.
func normalizeLegacyFlags(args []string) []string {
	out := make([]string, len(args))
	for i, a := range args {
		out[i] = a
		if strings.HasPrefix(a, "-xmpp") || strings.HasPrefix(a, "-resume") {
			out[i] = "-" + a
		}
	}
	return out
}

// usageError wraps an error with the exit code ExitUsage. It returns nil for nil.
func usageError(err error) error {
	if err == nil {
		return nil
	}
	return exitError{ExitUsage, err}
}

// validateArgs wraps a check of positional arguments so that its errors have the exit code ExitUsage.
func validateArgs(check cobra.PositionalArgs) cobra.PositionalArgs {
	return func(cmd *cobra.Command, args []string) error { return usageError(check(cmd, args)) }
}

// rootCommand returns the program's root command, which runs the relay, with all subcommands.
func (p *Program) rootCommand() *cobra.Command {
	root := p.serveCommand("capersail", "A relay for long-lived connections")
	root.Long = root.Short + ". Without a command it runs the relay, configured by LB_CONFIG and the flags."
	root.SilenceUsage = true
	root.SilenceErrors = true
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usageError(err) })
	root.AddCommand(
		p.serveCommand("serve", "Run the relay, configured by LB_CONFIG and the flags"),
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
		Args:  validateArgs(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			log, err := p.newLogger(level, format)
			if err != nil {
				return err
			}
			sources.Getenv = p.Getenv
			return lifecycle.Run(cmd.Context(), sources, p.Signals, log)
		},
	}
	flags := c.Flags()
	flags.StringVar(&sources.XMPP, "xmpp", "", "configuration `file` of the XMPP front; off if not set")
	flags.StringVar(&sources.Resume, "resume", "", "configuration `file` of resume tokens; off if not set")
	flags.StringVar(&sources.Timeline, "timeline", "", "configuration `file` of time lines; off if not set")
	flags.StringVar(&sources.Members, "members", "",
		"configuration `file` of the fleet membership of relays; off if not set")
	flags.StringVar(&level, "log-level", "info", "minimum `level` to log: debug, info, warn or error")
	flags.StringVar(&format, "log-format", "json", "log format: json or text")
	return c
}

// newLogger returns a logger that writes to standard error, with a minimum level and a format, json or text.
func (p *Program) newLogger(level, format string) (zerolog.Logger, error) {
	l, err := zerolog.ParseLevel(level)
	if err != nil {
		return zerolog.Nop(), usageError(
			fmt.Errorf("log-level: unknown level %q; want debug, info, warn or error", level))
	}
	out := p.Err
	switch format {
	case "json":
	case "text":
		out = zerolog.ConsoleWriter{Out: p.Err, NoColor: true, TimeFormat: "15:04:05.000"}
	default:
		return zerolog.Nop(), usageError(
			fmt.Errorf("log-format: unknown format %q; want json or text", format))
	}
	return zerolog.New(out).Level(l).With().Timestamp().Logger(), nil
}

func (p *Program) versionCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  validateArgs(cobra.NoArgs),
		Run: func(*cobra.Command, []string) {
			fmt.Fprintln(p.Out, "capersail", versionText())
		},
	}
}

// versionText returns the module version, the VCS revision and the Go version that the binary was built with.
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
