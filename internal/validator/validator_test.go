package validator_test

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"github.com/gentianlever/gentianlever/internal/validator"
)

// Guards against an invalid input that is accepted, or whose error does not name the field.
// Each folder under test/cases/document, settings and sidecar holds an input and its
// expected errors.
func TestCases(t *testing.T) {
	kinds := []struct {
		folder string
		parse  func(data []byte) error
	}{
		{
			folder: "document",
			parse: func(data []byte) error {
				_, err := validator.ParseDocument("input.json", data)
				return err
			},
		},
		{
			folder: "settings",
			parse: func(data []byte) error {
				_, err := validator.ParseSettings("input.json", data)
				return err
			},
		},
		{
			folder: "sidecar",
			parse: func(data []byte) error {
				_, err := validator.ParseSidecar("input.json", data)
				return err
			},
		},
	}
	for _, kind := range kinds {
		dirs, err := filepath.Glob(filepath.Join("../../test/cases", kind.folder, "*"))
		is.New(t).NoErr(err)
		is.New(t).True(len(dirs) > 0)
		for _, dir := range dirs {
			t.Run(filepath.Base(dir), func(t *testing.T) {
				is := is.New(t)
				data, err := os.ReadFile(filepath.Join(dir, "input.json"))
				is.NoErr(err)
				expected, err := os.ReadFile(filepath.Join(dir, "expected-errors.txt"))
				is.NoErr(err)
				is.Equal(errorText(kind.parse(data)), string(expected))
			})
		}
	}
}

// errorText returns all validation errors of err, one a line.
func errorText(err error) string {
	if err == nil {
		return ""
	}
	var invalid *validator.ValidationError
	if !errors.As(err, &invalid) {
		return "not a ValidationError: " + err.Error()
	}
	return invalid.Error() + "\n"
}
