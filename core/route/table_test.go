package route_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"heatherford/core/route"
)

func newTable() *route.Table {
	return route.NewTable(&route.Declaration{
		Version: 3,
		Routes: []route.Route{
			{
				Name:   "all",
				Host:   "desk.example",
				Prefix: "/",
			},
			{
				Name:   "deposits",
				Host:   "desk.example",
				Prefix: "/deposits/",
			},
			{
				Name:    "boats",
				Host:    "desk.example",
				Prefix:  "/deposits/boats/",
				Regions: []string{"khovd", "darkhan"},
			},
			{
				Name:    "bound",
				Host:    "till.example",
				Prefix:  "/",
				Regions: []string{"darkhan"},
			},
		},
	})
}

// TestFindLongestPrefix checks that the host's route with the longest prefix is
// found, whatever the case and port of the host.
func TestFindLongestPrefix(t *testing.T) {
	c := qt.New(t)
	x := newTable()
	for _, k := range []struct {
		host string
		path string
		want string
	}{
		{"desk.example", "/", "all"},
		{"desk.example", "/deposits", "all"},
		{"desk.example", "/deposits/7", "deposits"},
		{"DESK.example:8080", "/deposits/boats/7", "boats"},
		{"till.example", "/deposits/", "bound"},
	} {
		c.Check(x.Find(k.host, k.path).Name, qt.Equals, k.want, qt.Commentf("%s%s", k.host, k.path))
	}
	c.Check(x.Find("other.example", "/"), qt.IsNil)
}

// TestRegions checks that the regions are those in which every route of a host
// may be served.
func TestRegions(t *testing.T) {
	c := qt.New(t)
	x := newTable()
	r, bound := x.Regions("desk.example")
	c.Check(bound, qt.IsTrue)
	c.Check(r, qt.DeepEquals, []string{"khovd", "darkhan"})
	r, bound = x.Regions("till.example")
	c.Check(bound, qt.IsTrue)
	c.Check(r, qt.DeepEquals, []string{"darkhan"})
	_, bound = x.Regions("other.example")
	c.Check(bound, qt.IsFalse)
	c.Check(x.Find("till.example", "/").Allows("khovd"), qt.IsFalse)
	c.Check(x.Find("desk.example", "/").Allows("khovd"), qt.IsTrue)
}
