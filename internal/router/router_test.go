package router

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
)

func route(name, host, prefix string, parts ...Part) Route {
	return Route{
		Name:    name,
		Host:    host,
		Prefix:  prefix,
		Kind:    Idempotent,
		Timeout: time.Second,
		Parts:   parts,
	}
}

func table(routes ...Route) *Table {
	return &Table{
		Version: 1,
		Routes:  routes,
		Services: map[string]Service{
			"proofs": {Name: "proofs"},
			"vault":  {Name: "vault"},
		},
	}
}

var toProofs = Part{
	Service: "proofs",
	Weight:  1,
}

// The longest prefix of the request's own host decides, whatever the order of the routes.
func TestMatch(t *testing.T) {
	tb := table(
		route("short", "a.example", "/x/", toProofs),
		route("long", "a.example", "/x/y/", toProofs),
		route("other", "b.example", "/", toProofs),
	)
	is.New(t).NoErr(tb.Build())
	for _, test := range []struct {
		host string
		path string
		want string
	}{
		{
			host: "a.example",
			path: "/x/1",
			want: "short",
		},
		{
			host: "A.example:8080",
			path: "/x/y/1",
			want: "long",
		},
		{
			host: "a.example",
			path: "/x",
			want: "",
		},
		{
			host: "b.example",
			path: "/x/y/1",
			want: "other",
		},
		{
			host: "c.example",
			path: "/x/",
			want: "",
		},
	} {
		got := ""
		if r := tb.Match(test.host, test.path); r != nil {
			got = r.Name
		}
		is.New(t).Equal(got, test.want)
	}
}

// A table with a route that leads nowhere is not put in force.
func TestFaultyRoutes(t *testing.T) {
	unknown := toProofs
	unknown.Service = "nobody"
	weightless := toProofs
	weightless.Weight = 0
	unkind := route("unkind", "a.example", "/", toProofs)
	unkind.Kind = 0
	for _, r := range []Route{
		route("no host", "", "/", toProofs),
		route("bare prefix", "a.example", "/x", toProofs),
		route("no service", "a.example", "/"),
		route("unknown service", "a.example", "/", unknown),
		route("no weight", "a.example", "/", weightless),
		unkind,
	} {
		var fault *RouteError
		is.New(t).True(errors.As(table(r).Build(), &fault))
	}
}

// The shares of a split hold over short windows too, and not only on average.
func TestSplitHoldsItsWeights(t *testing.T) {
	is := is.New(t)
	r := route("split", "a.example", "/", Part{
		Service: "proofs",
		Weight:  90,
	}, Part{
		Service: "vault",
		Weight:  10,
	})
	var s Splitter
	counts := map[string]int{}
	for i := 1; i <= 100; i++ {
		counts[s.Choose(&r, 37)]++
		if i%20 == 0 {
			is.True(counts["vault"] >= i/10-1 && counts["vault"] <= i/10+1)
		}
	}
	is.Equal(counts["proofs"], 90)
}
