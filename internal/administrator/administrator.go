// Package administrator serves the administration API of a node.
package administrator

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/julienschmidt/httprouter"

	"github.com/gentianlever/gentianlever/internal/announcer"
	"github.com/gentianlever/gentianlever/internal/counter"
	"github.com/gentianlever/gentianlever/internal/distributor"
	"github.com/gentianlever/gentianlever/internal/storer"
	"github.com/gentianlever/gentianlever/internal/validator"
)

// maxDocumentBytes leaves space for the other fields of a change's row, which the table service
// limits to 400 KB.
const maxDocumentBytes = 200 << 10

// headerEdit is the header with the ID of an edit. An edit that a client retries is accepted only
// once.
const headerEdit = "Gentianlever-Edit"

// Administrator serves the administration API. Set the exported fields before Handler.
type Administrator struct {
	Owners   []validator.Owner
	Counters *counter.Counters
	// Apply accepts an edit.
	Apply func(ctx context.Context, e distributor.Edit) (distributor.Change, error)
	// Current returns the active change of a service, and false if there is none.
	Current func(service string) (distributor.Change, bool)
	// History returns the accepted changes of a service, latest first.
	History func(ctx context.Context, service string) ([]distributor.Change, error)
	// Status returns the state of the node.
	Status func() Status
}

// Status is the state of a node.
type Status struct {
	Node    announcer.Member `json:"node"`
	Version string           `json:"version"`
	// Revision is the head revision of the node's documents.
	Revision  uint64                 `json:"revision"`
	Table     distributor.TableState `json:"table"`
	Documents []DocumentStatus       `json:"documents"`
	// Members are all members that the node has a record of, with their states.
	Members []announcer.Member `json:"members"`
}

// DocumentStatus describes the active version of a document on a node.
type DocumentStatus struct {
	Service   string `json:"service"`
	Version   uint64 `json:"version"`
	Revision  uint64 `json:"revision"`
	Withdrawn bool   `json:"withdrawn"`
}

// Document is the response for one version of a document.
type Document struct {
	Service   string          `json:"service"`
	Version   uint64          `json:"version"`
	Author    string          `json:"author"`
	Time      string          `json:"time"`
	Withdrawn bool            `json:"withdrawn"`
	Document  json.RawMessage `json:"document,omitempty"`
}

// FieldError is one validation error of a refused document.
type FieldError struct {
	Path   string `json:"path"`
	Reason string `json:"reason"`
}

// ErrorResponse is the response to a request that was refused or failed.
type ErrorResponse struct {
	Error string `json:"error"`
	// Current is the document's current version, if the edit was based on another one.
	Current uint64 `json:"current,omitempty"`
	// Errors are the validation errors of a refused document.
	Errors []FieldError `json:"faults,omitempty"`
}

// Handler returns the handler of the API.
func (a *Administrator) Handler() http.Handler {
	router := httprouter.New()
	router.GET("/healthz", func(http.ResponseWriter, *http.Request, httprouter.Params) {})
	router.GET("/metrics", a.metrics)
	router.GET("/v1/status", a.status)
	router.GET("/v1/documents/:service", a.show)
	router.GET("/v1/documents/:service/history", a.history)
	router.PUT("/v1/documents/:service", a.put)
	router.DELETE("/v1/documents/:service", a.withdraw)
	return router
}

// respond writes a JSON response.
func respond[T any](w http.ResponseWriter, status int, body T) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (a *Administrator) metrics(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	_ = a.Counters.WriteText(w)
}

func (a *Administrator) status(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	respond(w, http.StatusOK, a.Status())
}

func (a *Administrator) show(w http.ResponseWriter, _ *http.Request, params httprouter.Params) {
	c, ok := a.Current(params.ByName("service"))
	if !ok {
		respond(w, http.StatusNotFound, ErrorResponse{Error: "no document has been accepted for this service"})
		return
	}
	respond(w, http.StatusOK, documentResponse(c))
}

func (a *Administrator) history(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	changes, err := a.History(r.Context(), params.ByName("service"))
	if err != nil {
		a.fail(w, err)
		return
	}
	if len(changes) == 0 {
		respond(w, http.StatusNotFound, ErrorResponse{Error: "no document has been accepted for this service"})
		return
	}
	versions := make([]Document, 0, len(changes))
	for _, c := range changes {
		versions = append(versions, documentResponse(c))
	}
	respond(w, http.StatusOK, versions)
}

// documentResponse returns the response that describes a change.
func documentResponse(c distributor.Change) Document {
	return Document{
		Service:   c.Service,
		Version:   c.Version,
		Author:    c.Author,
		Time:      c.Time.Format("2006-01-02T15:04:05.000Z07:00"),
		Withdrawn: c.Withdrawn,
		Document:  c.Document,
	}
}

func (a *Administrator) put(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxDocumentBytes))
	if err != nil {
		respond(w, http.StatusRequestEntityTooLarge, ErrorResponse{Error: err.Error()})
		return
	}
	d, err := validator.ParseDocument(params.ByName("service"), body)
	if err != nil {
		a.fail(w, err)
		return
	}
	if d.Service != params.ByName("service") {
		respond(w, http.StatusBadRequest, ErrorResponse{Error: "the path must name the document's service, " + strconv.Quote(d.Service)})
		return
	}
	a.edit(w, r, distributor.Edit{
		Service:  d.Service,
		Author:   d.Owner,
		Document: body,
	})
}

func (a *Administrator) withdraw(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	c, ok := a.Current(params.ByName("service"))
	if !ok {
		respond(w, http.StatusNotFound, ErrorResponse{Error: "no document has been accepted for this service"})
		return
	}
	a.edit(w, r, distributor.Edit{
		Service:  c.Service,
		Author:   c.Author,
		Document: c.Document,
		Withdraw: true,
	})
}

// edit checks the token of an edit, reads its base version and ID from the header, and applies
// it.
func (a *Administrator) edit(w http.ResponseWriter, r *http.Request, e distributor.Edit) {
	if !a.authorized(r, e) {
		respond(w, http.StatusForbidden, ErrorResponse{Error: "the token of the document's owner is required to change the document"})
		return
	}
	base, err := strconv.ParseUint(strings.Trim(r.Header.Get("If-Match"), `"`), 10, 64)
	if err != nil {
		respond(w, http.StatusPreconditionRequired, ErrorResponse{Error: "If-Match must hold the version that the edit replaces, 0 for a new document"})
		return
	}
	e.BaseVersion = base
	e.EditID = r.Header.Get(headerEdit)
	if e.EditID == "" {
		respond(w, http.StatusBadRequest, ErrorResponse{Error: headerEdit + " must hold a unique ID of the edit"})
		return
	}
	c, err := a.Apply(r.Context(), e)
	if err != nil {
		a.fail(w, err)
		return
	}
	respond(w, http.StatusOK, documentResponse(c))
}

// authorized reports whether the token belongs to the owner of the new document and, if there is
// an active version, also to the owner of that version.
func (a *Administrator) authorized(r *http.Request, e distributor.Edit) bool {
	token := strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")
	digest := sha256.Sum256([]byte(token))
	owner := ""
	for _, o := range a.Owners {
		if subtle.ConstantTimeCompare(o.TokenSHA256[:], digest[:]) == 1 {
			owner = o.Name
		}
	}
	if owner == "" || owner != e.Author {
		return false
	}
	c, ok := a.Current(e.Service)
	return !ok || c.Author == owner
}

// fail responds with the status and the body that belong to an error.
func (a *Administrator) fail(w http.ResponseWriter, err error) {
	var invalid *validator.ValidationError
	var conflict *distributor.ConflictError
	var unknown *storer.UnknownError
	f := ErrorResponse{Error: err.Error()}
	status := http.StatusServiceUnavailable
	switch {
	case errors.As(err, &invalid):
		status = http.StatusUnprocessableEntity
		f.Error = "the document has faults"
		for _, fieldError := range invalid.Errors {
			f.Errors = append(f.Errors, FieldError{
				Path:   fieldError.Path,
				Reason: fieldError.Reason,
			})
		}
	case errors.As(err, &conflict):
		status = http.StatusConflict
		f.Current = conflict.Current
		a.Counters.Add(counter.DocumentConflicts, 1)
	case errors.As(err, &unknown):
		status = http.StatusGatewayTimeout
	}
	respond(w, status, f)
}
