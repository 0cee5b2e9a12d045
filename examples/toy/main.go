// Command toy is all that a newcomer needs round one relay: discovery, and two servers that return every
// line. It writes no files; examples/config.json names its addresses.
package main

import (
	"flag"
	"fmt"
	"os"

	"capersail/internal/testing/fake"
)

func main() {
	address := flag.String("discovery", "127.0.0.1:8500", "discovery's `address`")
	flag.Parse()
	if err := run(*address); err != nil {
		fmt.Fprintln(os.Stderr, "toy:", err)
		os.Exit(1)
	}
}

// run starts all and returns only if that fails.
func run(address string) error {
	discovery, err := fake.NewDiscovery(address)
	if err != nil {
		return err
	}
	for i, address := range []string{"127.0.0.1:8001", "127.0.0.1:8002"} {
		server, err := fake.NewEchoServer(address, "UP")
		if err != nil {
			return err
		}
		id := fmt.Sprintf("toy-%d", i+1)
		discovery.Set(id, server.Address, "Ready")
		go printFirstLines(id, server)
	}
	fmt.Println("discovery at", discovery.Address)
	select {}
}

// printFirstLines prints what opens a connection, for as long as the process runs.
func printFirstLines(id string, server *fake.EchoServer) {
	for line := range server.FirstLines {
		fmt.Printf("%s took %s\n", id, line)
	}
}
