package catalog

import (
	"testing"

	"github.com/matryer/is"
)

// Fails if a request matches a shorter prefix than possible, the route of another host, or a prefix that ends inside
// a path segment.
func TestLookupTakesLongestPrefixOfHost(t *testing.T) {
	is := is.New(t)
	table := NewRouteTable(Configuration{Version: 3, Routes: []Route{
		{Name: "all", Host: "a.example", Prefix: "/"},
		{Name: "short", Host: "a.example", Prefix: "/maps/"},
		{Name: "long", Host: "A.example", Prefix: "/maps/tiles/"},
		{Name: "other", Host: "b.example", Prefix: "/maps/tiles/"},
	}})
	cases := []struct{ host, path, route string }{
		{"a.example", "/maps/tiles/7", "long"},
		{"a.example:8080", "/maps/x", "short"},
		{"A.EXAMPLE", "/mapsx/1", "all"},
		{"b.example", "/maps/tiles/", "other"},
		{"b.example", "/maps/", ""},
		{"c.example", "/", ""},
	}
	for _, c := range cases {
		r, ok := table.Lookup(c.host, c.path)
		is.Equal(ok, c.route != "")
		if ok {
			is.Equal(r.Name, c.route)
		}
	}
	is.Equal(uint64(table.Version()), uint64(3))
}
