// Command adapter connects the decision module to the simulator: it reads batches of events from standard
// input, one per line, and writes the replies to standard output.
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
	debug.SetGCPercent(800) // the simulator measures CPU time, not memory: collect garbage less often
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "adapter:", err)
		os.Exit(1)
	}
}

// run writes a reply to each line of the input until the input ends.
func run(in io.Reader, out io.Writer) error {
	input := bufio.NewReaderSize(in, 1<<20)
	hub := simulator.NewHub()
	var longLine []byte // the parts of a line that is longer than the reader's buffer
	for lineNumber := 1; ; {
		part, err := input.ReadSlice('\n')
		if err == bufio.ErrBufferFull {
			longLine = append(longLine, part...)
			continue
		}
		line := part
		if len(longLine) > 0 {
			longLine = append(longLine, part...)
			line = longLine
		}
		if line = bytes.TrimSpace(line); len(line) > 0 {
			reply, batchErr := hub.HandleBatch(line)
			if batchErr != nil {
				return fmt.Errorf("line %d: %w", lineNumber, batchErr)
			}
			if _, err := out.Write(reply); err != nil {
				return err
			}
		}
		longLine, lineNumber = longLine[:0], lineNumber+1
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}
