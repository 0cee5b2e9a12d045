// Command talk speaks to a relay by hand: what is typed goes out line by line, what comes back is printed.
package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
)

func main() {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: talk ADDRESS")
		os.Exit(2)
	}
	if err := talk(os.Args[1]); err != nil {
		fmt.Fprintln(os.Stderr, "talk:", err)
		os.Exit(1)
	}
}

func talk(address string) error {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return err
	}
	defer conn.Close()
	go func() {
		for lines := bufio.NewScanner(os.Stdin); lines.Scan(); {
			if _, err := fmt.Fprintf(conn, "%s\r\n", lines.Text()); err != nil {
				return
			}
		}
		conn.(*net.TCPConn).CloseWrite()
	}()
	_, err = io.Copy(os.Stdout, conn)
	return err
}
