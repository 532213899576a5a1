// Command turmericsail is the load balancer, its operators' tools and its stand-ins in one binary.
package main

import (
	"context"
	"os"

	"github.com/turmericsail/turmericsail/internal/cli"
)

func main() {
	os.Exit(cli.Main(context.Background(), os.Args[1:], os.Stdout, os.Stderr))
}
