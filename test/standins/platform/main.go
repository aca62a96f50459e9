// Command platform is a stand-in for the platform's table service (a subset of
// DynamoDB's JSON API) and object store (a subset of S3's API). It keeps all data
// in memory.
package main

import (
	"log/slog"
	"net/http"
	"os"

	"github.com/alexflint/go-arg"
)

type arguments struct {
	Listen string `arg:"--listen" default:"127.0.0.1:8100" help:"address of both services"`
}

func main() {
	var args arguments
	arg.MustParse(&args)
	p := &platform{
		rows:    map[rowKey]item{},
		objects: map[string][]byte{},
	}
	slog.Info("platform stand-in is ready", "address", args.Listen)
	if err := http.ListenAndServe(args.Listen, p); err != nil {
		slog.Error("platform stand-in stops", "error", err)
		os.Exit(1)
	}
}
