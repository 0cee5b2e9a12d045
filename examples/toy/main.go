// Command toy is all that a newcomer needs round one relay: discovery, and two servers that return every
// line. It writes nothing; examples/config.json names its addresses.
package main

import (
	"flag"
	"fmt"
	"os"

	"capersail/internal/testing/fake"
)

func main() {
	list := flag.String("discovery", "127.0.0.1:8500", "discovery's `address`")
	flag.Parse()
	if err := run(*list); err != nil {
		fmt.Fprintln(os.Stderr, "toy:", err)
		os.Exit(1)
	}
}

func run(list string) error {
	d, err := fake.NewDiscovery(list)
	if err != nil {
		return err
	}
	for i, address := range []string{"127.0.0.1:8001", "127.0.0.1:8002"} {
		s, err := fake.NewEchoServer(address, "UP")
		if err != nil {
			return err
		}
		id := fmt.Sprintf("toy-%d", i+1)
		d.Set(id, s.Address, "Ready")
		go func() {
			for line := range s.FirstLines {
				fmt.Printf("%s took %s\n", id, line)
			}
		}()
	}
	fmt.Println("discovery at", d.Address)
	select {}
}
