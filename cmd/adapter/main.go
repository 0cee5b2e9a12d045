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
	input := bufio.NewReaderSize(in, 1<<20)
	hub := simulator.NewHub()
	var longLine []byte // a line longer than the buffer
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
