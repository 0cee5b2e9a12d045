package command

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"
)

func (p *Program) clientCommand() *cobra.Command {
	var script string
	var within time.Duration
	c := &cobra.Command{
		Use:   "client ADDRESS",
		Short: "Open a connection and speak by hand, or play a script",
		Long: `Open a connection and speak by hand: what is typed goes out line by line, what comes back is printed.

A script has one step a line: "> TEXT" sends TEXT, "< WORD" waits for a line whose first word is WORD, "wait 1s"
pauses; lines that begin with # are left out.`,
		Args: checkArguments(cobra.ExactArgs(1)),
		RunE: func(_ *cobra.Command, args []string) error {
			conn, err := net.Dial("tcp", args[0])
			if err != nil {
				return err
			}
			defer conn.Close()
			if script == "" {
				return p.runInteractive(conn)
			}
			text, err := os.ReadFile(script)
			if err != nil {
				return err
			}
			return p.playScript(conn, script, string(text), within)
		},
	}
	c.Flags().StringVar(&script, "script", "", "`file` to play")
	c.Flags().DurationVar(&within, "within", 10*time.Second, "how long a step may wait")
	return c
}

func (p *Program) runInteractive(conn net.Conn) error {
	go func() {
		for lines := bufio.NewScanner(p.In); lines.Scan(); {
			if _, err := fmt.Fprintf(conn, "%s\r\n", lines.Text()); err != nil {
				return
			}
		}
		conn.(*net.TCPConn).CloseWrite()
	}()
	_, err := io.Copy(p.Out, conn)
	return err
}

func (p *Program) playScript(conn net.Conn, name, text string, within time.Duration) error {
	in := bufio.NewReader(conn)
	for i, step := range strings.Split(text, "\n") {
		step = strings.TrimSpace(step)
		word, rest, _ := strings.Cut(step, " ")
		switch {
		case step == "" || word[0] == '#':
		case word == ">":
			fmt.Fprintln(p.Out, step)
			if _, err := fmt.Fprintf(conn, "%s\r\n", rest); err != nil {
				return fmt.Errorf("%s:%d: %w", name, i+1, err)
			}
		case word == "wait":
			d, err := time.ParseDuration(rest)
			if err != nil {
				return fmt.Errorf("%s:%d: %w", name, i+1, err)
			}
			time.Sleep(d)
		case word == "<":
			conn.SetReadDeadline(time.Now().Add(within))
			for {
				line, err := in.ReadString('\n')
				if err != nil {
					return fmt.Errorf("%s:%d: waiting for %s: %w", name, i+1, rest, err)
				}
				line = strings.TrimSpace(line)
				fmt.Fprintln(p.Out, "<", line)
				if first, _, _ := strings.Cut(line, " "); first == rest {
					break
				}
			}
		default:
			return fmt.Errorf("%s:%d: %q is no step: >, < or wait", name, i+1, word)
		}
	}
	return nil
}
