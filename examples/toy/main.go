// Command toy runs what one relay needs to be tried out: a discovery service and two servers that echo every
// line. It writes no files. examples/config.json contains its addresses.
package main

import (
	"flag"
	"fmt"
	"os"

	"capersail/internal/testing/fake"
)

func main() {
	address := flag.String("discovery", "127.0.0.1:8500", "`address` to listen on as discovery service")
	flag.Parse()
	if err := run(*address); err != nil {
		fmt.Fprintln(os.Stderr, "toy:", err)
		os.Exit(1)
	}
}

// run starts the discovery service and the servers. It returns only if one fails to start.
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
	fmt.Println("discovery listens at", discovery.Address)
	select {}
}

// printFirstLines prints the first line of each connection to a server, until the process ends.
func printFirstLines(id string, server *fake.EchoServer) {
	for line := range server.FirstLines {
		fmt.Printf("%s received first line %s\n", id, line)
	}
}
