// Command adapter puts the decision module on the bench's wire: batches on standard input, replies on
// standard output.
package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"os"
	"runtime/debug"

	"capersail/internal/wire/simulator"
)

func main() {
	debug.SetGCPercent(800) // CPU is metered, memory is not
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "adapter:", err)
		os.Exit(1)
	}
}

// run answers each line until the input ends.
func run(in io.Reader, out io.Writer) error {
	lines := bufio.NewReaderSize(in, 1<<20)
	hub := simulator.NewHub()
	var long []byte // a line longer than the buffer
	for n := 1; ; {
		part, err := lines.ReadSlice('\n')
		if err == bufio.ErrBufferFull {
			long = append(long, part...)
			continue
		}
		line := part
		if len(long) > 0 {
			long = append(long, part...)
			line = long
		}
		if line = bytes.TrimSpace(line); len(line) > 0 {
			reply, bad := hub.HandleBatch(line)
			if bad != nil {
				return fmt.Errorf("line %d: %w", n, bad)
			}
			if _, err := out.Write(reply); err != nil {
				return err
			}
		}
		long, n = long[:0], n+1
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}
