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

// adminTimeout covers a commit to a slow store, including the time to determine the outcome of
// a write whose response was lost.
const adminTimeout = 30 * time.Second

// adminOption holds the address of the node to which a subcommand sends its request.
type adminOption struct {
	Admin string `arg:"--admin" default:"127.0.0.1:8002" placeholder:"ADDRESS" help:"admin-address of any node"`
}

// tokenOption holds the token that authorizes an edit.
type tokenOption struct {
	Token string `arg:"--token,env:GENTIANLEVER_TOKEN" help:"token of the document's owner"`
}

type applyArguments struct {
	adminOption
	tokenOption
	Base *uint64 `arg:"--base" help:"version that the edit replaces [default: the active version]"`
	File string  `arg:"positional,required" placeholder:"FILE" help:"document, in JSON"`
}

type showArguments struct {
	adminOption
	Service string `arg:"positional,required" help:"name of the service"`
}

type historyArguments struct {
	adminOption
	Service string `arg:"positional,required" help:"name of the service"`
}

type statusArguments struct {
	adminOption
}

type withdrawArguments struct {
	adminOption
	tokenOption
	Base    *uint64 `arg:"--base" help:"version that the edit replaces [default: the active version]"`
	Service string  `arg:"positional,required" help:"name of the service"`
}

// adminError is an error response of the administration API.
type adminError struct {
	status  int
	failure administrator.ErrorResponse
}

func (e *adminError) Error() string {
	var b strings.Builder
	_, _ = fmt.Fprintf(&b, "the node responded with status %d: %s", e.status, e.failure.Error)
	for _, f := range e.failure.Errors {
		_, _ = fmt.Fprintf(&b, "\n%s: %s", f.Path, f.Reason)
	}
	return b.String()
}

// callAdmin sends a request to the administration API and decodes the response. If the status
// is not 200, its error is an *adminError.
func callAdmin[T any](method, address, path string, header http.Header, body []byte) (T, error) {
	var response T
	ctx, cancel := context.WithTimeout(context.Background(), adminTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return response, err
	}
	if header != nil {
		r.Header = header
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return response, err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return response, err
	}
	if resp.StatusCode != http.StatusOK {
		failure := &adminError{status: resp.StatusCode}
		if json.Unmarshal(data, &failure.failure) != nil {
			failure.failure.Error = strings.TrimSpace(string(data))
		}
		return response, failure
	}
	return response, json.Unmarshal(data, &response)
}

// documentPath returns the path of a service's document in the administration API.
func documentPath(service string) string {
	return "/v1/documents/" + service
}

// baseVersion returns the given version, or the active one if none is given. It is 0 if the
// service has no document.
func baseVersion(address, service string, given *uint64) (uint64, error) {
	if given != nil {
		return *given, nil
	}
	d, err := callAdmin[administrator.Document](http.MethodGet, address, documentPath(service), nil, nil)
	if failure, ok := err.(*adminError); ok && failure.status == http.StatusNotFound {
		return 0, nil
	}
	return d.Version, err
}

// editHeader returns the header of an edit: its token, its base version and a random ID.
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
	version, err := baseVersion(args.Admin, d.Service, args.Base)
	if err != nil {
		return err
	}
	accepted, err := callAdmin[administrator.Document](http.MethodPut, args.Admin, documentPath(d.Service), editHeader(args.Token, version), data)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(c.Stdout, "document %q: version %d is accepted\n", accepted.Service, accepted.Version)
	return err
}

func (c *Commander) withdraw(args *withdrawArguments) error {
	version, err := baseVersion(args.Admin, args.Service, args.Base)
	if err != nil {
		return err
	}
	accepted, err := callAdmin[administrator.Document](http.MethodDelete, args.Admin, documentPath(args.Service), editHeader(args.Token, version), nil)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(c.Stdout, "document %q: version %d withdraws it\n", accepted.Service, accepted.Version)
	return err
}

func (c *Commander) show(args *showArguments) error {
	d, err := callAdmin[administrator.Document](http.MethodGet, args.Admin, documentPath(args.Service), nil, nil)
	if err != nil {
		return err
	}
	return c.print(d)
}

func (c *Commander) history(args *historyArguments) error {
	versions, err := callAdmin[[]administrator.Document](http.MethodGet, args.Admin, documentPath(args.Service)+"/history", nil, nil)
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
	status, err := callAdmin[administrator.Status](http.MethodGet, args.Admin, "/v1/status", nil, nil)
	if err != nil {
		return err
	}
	return c.print(status)
}

// print prints a value as indented JSON.
func (c *Commander) print(v any) error {
	e := json.NewEncoder(c.Stdout)
	e.SetIndent("", "  ")
	return e.Encode(v)
}
