package integration

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against a page of guarantees that names a missing test, and against a test of this
// package that the page doesn't list.
func TestGuaranteesPageListsTests(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../docs/guarantees.md")
	is.NoErr(err)
	files, err := filepath.Glob("*_test.go")
	is.NoErr(err)
	var code strings.Builder
	for _, file := range files {
		data, err := os.ReadFile(file)
		is.NoErr(err)
		code.Write(data)
	}
	for _, name := range regexp.MustCompile("`(Test[A-Za-z]+)`").FindAllStringSubmatch(string(page), -1) {
		is.True(strings.Contains(code.String(), "func "+name[1]+"(")) // the page names a test that does not exist
	}
	for _, name := range regexp.MustCompile(`func (Test[A-Z][a-z]+[A-Za-z]*)\(t`).FindAllStringSubmatch(code.String(), -1) {
		if name[1] != "TestGuaranteesPageListsTests" {
			is.True(strings.Contains(string(page), "`"+name[1]+"`")) // the page does not list a test
		}
	}
}
