package route

import (
	"net"
	"sort"
	"strings"
)

// Table finds the route of a request. It is immutable and safe for concurrent
// use.
type Table struct {
	Declaration *Declaration
	// byHost holds the routes of each host, the longest prefix first.
	byHost map[string][]*Route
}

// NewTable returns a table of the declaration's routes.
func NewTable(d *Declaration) *Table {
	t := &Table{
		Declaration: d,
		byHost:      map[string][]*Route{},
	}
	for i := range d.Routes {
		r := &d.Routes[i]
		h := hostName(r.Host)
		t.byHost[h] = append(t.byHost[h], r)
	}
	for _, s := range t.byHost {
		sort.SliceStable(s, func(i, j int) bool {
			return len(s[i].Prefix) > len(s[j].Prefix)
		})
	}
	return t
}

// Find returns the host's route with the longest prefix that path begins with, or
// nil if there is none.
func (t *Table) Find(host, path string) *Route {
	for _, r := range t.byHost[hostName(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Regions returns the regions in which all routes of the host may be served, and
// true. It returns false if no route of the host is restricted to regions.
func (t *Table) Regions(host string) ([]string, bool) {
	restricted := (*Route)(nil)
	for _, r := range t.byHost[hostName(host)] {
		if len(r.Regions) > 0 {
			restricted = r
			break
		}
	}
	if restricted == nil {
		return nil, false
	}
	regions := []string{}
	for _, x := range restricted.Regions {
		if t.allAllow(host, x) {
			regions = append(regions, x)
		}
	}
	return regions, true
}

func (t *Table) allAllow(host, region string) bool {
	for _, r := range t.byHost[hostName(host)] {
		if !r.Allows(region) {
			return false
		}
	}
	return true
}

// hostName returns the host without the port, in lower case.
func hostName(host string) string {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	return strings.ToLower(host)
}
