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
	var stepTimeout time.Duration
	c := &cobra.Command{
		Use:   "client ADDRESS",
		Short: "Open a connection and send lines interactively or from a script",
		Long: `Open a connection, send each line of standard input and print what the other side sends.

A script has one step per line: "> TEXT" sends TEXT, "< WORD" waits for a line whose first word is WORD,
"wait 1s" pauses; empty lines and lines that begin with # are ignored.`,
		Args: validateArgs(cobra.ExactArgs(1)),
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
			return p.playScript(conn, script, string(text), stepTimeout)
		},
	}
	c.Flags().StringVar(&script, "script", "", "script `file` to run instead of reading standard input")
	c.Flags().DurationVar(&stepTimeout, "within", 10*time.Second, "time-out of a step that waits for a line")
	return c
}

// runInteractive sends the lines of p.In to the connection and prints what the connection returns, until the
// other side closes it.
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

// playScript runs the steps of a script in order. An error names the script and the line.
func (p *Program) playScript(conn net.Conn, name, text string, stepTimeout time.Duration) error {
	in := bufio.NewReader(conn)
	for i, step := range strings.Split(text, "\n") {
		if err := p.playStep(conn, in, strings.TrimSpace(step), stepTimeout); err != nil {
			return fmt.Errorf("%s:%d: %w", name, i+1, err)
		}
	}
	return nil
}

// playStep runs one step of a script.
func (p *Program) playStep(conn net.Conn, in *bufio.Reader, step string, stepTimeout time.Duration) error {
	word, rest, _ := strings.Cut(step, " ")
	switch {
	case step == "" || word[0] == '#':
		return nil
	case word == ">":
		fmt.Fprintln(p.Out, step)
		_, err := fmt.Fprintf(conn, "%s\r\n", rest)
		return err
	case word == "wait":
		d, err := time.ParseDuration(rest)
		if err != nil {
			return err
		}
		time.Sleep(d)
		return nil
	case word == "<":
		conn.SetReadDeadline(time.Now().Add(stepTimeout))
		return p.awaitWord(in, rest)
	}
	return fmt.Errorf("unknown script step %q; want >, < or wait", word)
}

// awaitWord reads and prints lines up to and including the first whose first word is word.
func (p *Program) awaitWord(in *bufio.Reader, word string) error {
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return fmt.Errorf("waiting for %s: %w", word, err)
		}
		line = strings.TrimSpace(line)
		fmt.Fprintln(p.Out, "<", line)
		if first, _, _ := strings.Cut(line, " "); first == word {
			return nil
		}
	}
}
