package commander

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/gentianlever/gentianlever/internal/administrator"
	"github.com/gentianlever/gentianlever/internal/validator"
)

// adminTimeout covers a commit on a slow platform and the settling of a lost answer.
const adminTimeout = 30 * time.Second

// Admin is the address of the node that a subcommand asks.
type admin struct {
	Admin string `arg:"--admin" default:"127.0.0.1:8002" placeholder:"ADDRESS" help:"admin-address of any node"`
}

type ownerToken struct {
	Token string `arg:"--token,env:GENTIANLEVER_TOKEN" help:"token of the document's owner"`
}

type applyArguments struct {
	admin
	ownerToken
	Base *uint64 `arg:"--base" help:"version that the edit replaces [default: the one in force]"`
	File string  `arg:"positional,required" placeholder:"FILE" help:"document, in JSON"`
}

type showArguments struct {
	admin
	Service string `arg:"positional,required" help:"name of the service"`
}

type historyArguments struct {
	admin
	Service string `arg:"positional,required" help:"name of the service"`
}

type statusArguments struct {
	admin
}

type withdrawArguments struct {
	admin
	ownerToken
	Base    *uint64 `arg:"--base" help:"version that the edit replaces [default: the one in force]"`
	Service string  `arg:"positional,required" help:"name of the service"`
}

// adminError is a refusal of the administration API.
type adminError struct {
	status  int
	failure administrator.Failure
}

func (e *adminError) Error() string {
	var b strings.Builder
	_, _ = fmt.Fprintf(&b, "the node answered %d: %s", e.status, e.failure.Error)
	for _, f := range e.failure.Faults {
		_, _ = fmt.Fprintf(&b, "\n%s: %s", f.Path, f.Reason)
	}
	return b.String()
}

// ask sends one request to the administration API and decodes the answer.
func ask[T any](method, address, path string, header http.Header, body []byte) (T, error) {
	var answer T
	ctx, cancel := context.WithTimeout(context.Background(), adminTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return answer, err
	}
	if header != nil {
		r.Header = header
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return answer, err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return answer, err
	}
	if resp.StatusCode != http.StatusOK {
		failure := &adminError{status: resp.StatusCode}
		if json.Unmarshal(data, &failure.failure) != nil {
			failure.failure.Error = strings.TrimSpace(string(data))
		}
		return answer, failure
	}
	return answer, json.Unmarshal(data, &answer)
}

func documentPath(service string) string {
	return "/v1/documents/" + service
}

// base returns the given base version, or the version in force.
func base(address, service string, given *uint64) (uint64, error) {
	if given != nil {
		return *given, nil
	}
	d, err := ask[administrator.Document](http.MethodGet, address, documentPath(service), nil, nil)
	if failure, ok := err.(*adminError); ok && failure.status == http.StatusNotFound {
		return 0, nil
	}
	return d.Version, err
}

func editHeader(token string, version uint64) http.Header {
	h := http.Header{}
	h.Set("Authorization", "Bearer "+token)
	h.Set("If-Match", strconv.FormatUint(version, 10))
	h.Set("Gentianlever-Edit", rand.Text())
	return h
}

func (c *Commander) apply(args *applyArguments) error {
	data, err := os.ReadFile(args.File)
	if err != nil {
		return err
	}
	d, err := validator.ParseDocument(args.File, data)
	if err != nil {
		return err
	}
	version, err := base(args.Admin, d.Service, args.Base)
	if err != nil {
		return err
	}
	accepted, err := ask[administrator.Document](http.MethodPut, args.Admin, documentPath(d.Service), editHeader(args.Token, version), data)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(c.Stdout, "document %q: version %d is accepted\n", accepted.Service, accepted.Version)
	return err
}

func (c *Commander) withdraw(args *withdrawArguments) error {
	version, err := base(args.Admin, args.Service, args.Base)
	if err != nil {
		return err
	}
	accepted, err := ask[administrator.Document](http.MethodDelete, args.Admin, documentPath(args.Service), editHeader(args.Token, version), nil)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(c.Stdout, "document %q: version %d withdraws it\n", accepted.Service, accepted.Version)
	return err
}

func (c *Commander) show(args *showArguments) error {
	d, err := ask[administrator.Document](http.MethodGet, args.Admin, documentPath(args.Service), nil, nil)
	if err != nil {
		return err
	}
	return c.print(d)
}

func (c *Commander) history(args *historyArguments) error {
	versions, err := ask[[]administrator.Document](http.MethodGet, args.Admin, documentPath(args.Service)+"/history", nil, nil)
	if err != nil {
		return err
	}
	for _, d := range versions {
		note := ""
		if d.Withdrawn {
			note = " withdrawn"
		}
		_, _ = fmt.Fprintf(c.Stdout, "%d %s %s%s\n", d.Version, d.Time, d.Author, note)
	}
	return nil
}

func (c *Commander) status(args *statusArguments) error {
	status, err := ask[administrator.Status](http.MethodGet, args.Admin, "/v1/status", nil, nil)
	if err != nil {
		return err
	}
	return c.print(status)
}

func (c *Commander) print(v any) error {
	e := json.NewEncoder(c.Stdout)
	e.SetIndent("", "  ")
	return e.Encode(v)
}
