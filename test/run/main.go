// Command run starts a local cluster on loopback addresses: a platform stand-in and three
// endpoints in three availability zones with a node beside each. It applies one document
// through the administration API. An interrupt stops the cluster.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/gentianlever/gentianlever/test/launcher"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "run:", err)
		os.Exit(1)
	}
}

func run() (err error) {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	dir, err := os.MkdirTemp("", "gentianlever-run-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	c := &launcher.Cluster{
		Dir:      dir,
		Services: []string{"proof-viewer", "proof-viewer", "proof-viewer"},
	}
	if err := c.Build("."); err != nil {
		return err
	}
	defer func() {
		if stopErr := c.Stop(); err == nil {
			err = stopErr
		}
	}()
	if err := c.Start(); err != nil {
		return err
	}
	if err := c.ApplyDocument(c.Nodes[0], "proof-viewer", launcher.ProofViewerDocument, 0); err != nil {
		return err
	}
	printUsage(c)
	<-ctx.Done()
	fmt.Println("run: stopping")
	return nil
}

// printUsage prints the addresses of the cluster and example requests.
func printUsage(c *launcher.Cluster) {
	fmt.Printf("platform  %s\n", c.PlatformAddress)
	for _, n := range c.Nodes {
		fmt.Printf("%s      callers %s  admin %s  endpoint %s\n", n.Name, n.CallersAddress, n.AdminAddress, n.EndpointAddress)
	}
	fmt.Println("try:")
	fmt.Printf("  curl -H 'Host: proofs.irbid.example' http://%s/proofs/7\n", c.Nodes[0].CallersAddress)
	fmt.Printf("  curl -H 'Host: proofs.irbid.example' -H 'Idempotency-Key: k1' -X POST http://%s/sign-off\n", c.Nodes[0].CallersAddress)
	fmt.Printf("  curl http://%s/v1/status\n", c.Nodes[0].AdminAddress)
	fmt.Printf("  curl http://%s/metrics\n", c.Nodes[0].AdminAddress)
	fmt.Println("interrupt (Ctrl-C) stops the cluster")
}
