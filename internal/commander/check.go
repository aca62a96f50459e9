package commander

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/gentianlever/gentianlever/internal/validator"
)

type checkArguments struct {
	Files []string `arg:"positional,required" placeholder:"FILE" help:"documents and settings, in JSON"`
}

type fieldsArguments struct {
	Kind string `arg:"positional,required" placeholder:"KIND" help:"document, settings or sidecar"`
}

// check checks all files and reports all their errors.
func (c *Commander) check(args *checkArguments) error {
	var errs []error
	for _, file := range args.Files {
		kind, err := checkFile(file)
		if err != nil {
			errs = append(errs, err)
			continue
		}
		_, _ = fmt.Fprintf(c.Stdout, "%s %q: no faults\n", kind, file)
	}
	return errors.Join(errs...)
}

// checkFile parses a file as the kind of input that its fields suggest. The kind that it returns
// is "document", or "settings" for a node and a sidecar alike.
func checkFile(file string) (kind string, err error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return "", err
	}
	if isSidecar(data) {
		_, err := validator.ParseSidecar(file, data)
		return "settings", err
	}
	if isSettings(data) {
		_, err := validator.ParseSettings(file, data)
		return "settings", err
	}
	_, err = validator.ParseDocument(file, data)
	return "document", err
}

// isSettings reports whether the data are settings of a node or a sidecar, which it recognizes by
// fields that a document does not have. isSidecar distinguishes the two.
func isSettings(data []byte) bool {
	return hasAny(data, "nodes-address", "callers-address", "platform", "membership-key")
}

// isSidecar reports whether the data are settings of a sidecar, which it recognizes by fields
// that neither a document nor the settings of a node have.
func isSidecar(data []byte) bool {
	return hasAny(data, "store-address", "reports-address", "ready-address")
}

// hasAny reports whether the data are a JSON object with any of the named members.
func hasAny(data []byte, names ...string) bool {
	var members map[string]json.RawMessage
	if json.Unmarshal(data, &members) != nil {
		return false
	}
	for _, name := range names {
		if _, ok := members[name]; ok {
			return true
		}
	}
	return false
}

// unknownKindError is the error for a KIND argument that is not a kind of input file.
type unknownKindError struct{ kind string }

func (e *unknownKindError) Error() string {
	return fmt.Sprintf("unknown kind %q: must be document, settings or sidecar", e.kind)
}

// fields prints the fields that the parser accepts for a kind of input.
func (c *Commander) fields(args *fieldsArguments) error {
	var sections []validator.Section
	switch args.Kind {
	case "document":
		sections = validator.DocumentSections()
	case "settings":
		sections = validator.SettingsSections()
	case "sidecar":
		sections = validator.SidecarSections()
	default:
		return &unknownKindError{kind: args.Kind}
	}
	for _, s := range sections {
		for _, f := range s.Fields {
			_, _ = fmt.Fprintln(c.Stdout, fieldLine(s.Path, f))
		}
	}
	return nil
}

// fieldLine formats a field: its name, type, default and help.
func fieldLine(path string, f validator.Field) string {
	name := f.Name
	if path != "" {
		name = path + "." + f.Name
	}
	notes := f.Type
	switch {
	case f.Required:
		notes += ", required"
	case f.Default != "":
		notes += ", default " + f.Default
	}
	return strings.Join([]string{name, "(" + notes + "):", f.Help}, " ")
}
