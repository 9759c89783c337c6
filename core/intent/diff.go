package intent

import (
	"fmt"
	"reflect"
	"sort"
)

// Change is one difference between two declarations, described for operators.
type Change struct {
	// Path names what changes, such as `shift "monday"`.
	Path string `json:"path"`
	// Text describes the change, such as "share 0.1 becomes 0.5".
	Text string `json:"text"`
}

// Diff returns the changes from a to b, ordered by path. A nil a stands for an
// empty declaration.
func Diff(a, b *Declaration) []Change {
	if a == nil {
		a = &Declaration{}
	}
	s := []Change{}
	s = append(s, diffSet("rank", rankMap(a), rankMap(b))...)
	s = append(s, diffSet("kind", kindMap(a), kindMap(b))...)
	s = append(s, diffSet("region", regionMap(a), regionMap(b))...)
	s = append(s, diffSet("link", linkMap(a), linkMap(b))...)
	s = append(s, diffSet("endpoint", endpointMap(a), endpointMap(b))...)
	s = append(s, diffSet("shift", shiftMap(a), shiftMap(b))...)
	s = append(s, diffSet("site", siteMap(a), siteMap(b))...)
	s = append(s, diffSet("block", blockMap(a), blockMap(b))...)
	s = append(s, diffSet("leaving host", leavingMap(a), leavingMap(b))...)
	sort.SliceStable(s, func(i, j int) bool {
		return s[i].Path < s[j].Path
	})
	return s
}

func rankMap(d *Declaration) map[string]Rank {
	return mapBy(d.Ranks, func(r Rank) string { return r.Name })
}

func kindMap(d *Declaration) map[string]Kind {
	return mapBy(d.Kinds, func(k Kind) string { return k.Name })
}

func regionMap(d *Declaration) map[string]Region {
	return mapBy(d.Regions, func(r Region) string { return r.Name })
}

func linkMap(d *Declaration) map[string]Link {
	return mapBy(d.Links, func(l Link) string { return l.From + " to " + l.To })
}

func shiftMap(d *Declaration) map[string]Shift {
	return mapBy(d.Shifts, func(s Shift) string { return s.Name })
}

func siteMap(d *Declaration) map[string]Site {
	return mapBy(d.Sites, func(s Site) string { return s.Name })
}

func blockMap(d *Declaration) map[string]Block {
	return mapBy(d.Blocks, func(b Block) string { return b.Prefix.String() })
}

func leavingMap(d *Declaration) map[string]struct{} {
	m := map[string]struct{}{}
	for _, n := range d.LeavingHosts {
		m[n] = struct{}{}
	}
	return m
}

func endpointMap(d *Declaration) map[string]Endpoint {
	m := map[string]Endpoint{}
	for _, u := range d.Upstreams {
		for _, e := range u.Endpoints {
			m[u.Name+"/"+e.Name] = e
		}
	}
	return m
}

func mapBy[T any](s []T, key func(T) string) map[string]T {
	m := make(map[string]T, len(s))
	for _, v := range s {
		m[key(v)] = v
	}
	return m
}

func diffSet[T any](what string, a, b map[string]T) []Change {
	s := []Change{}
	for k, v := range b {
		w, ok := a[k]
		if !ok {
			s = append(s, newChange(what, k, "is added"))
			continue
		}
		s = append(s, diffFields(what, k, w, v)...)
	}
	for k := range a {
		if _, ok := b[k]; !ok {
			s = append(s, newChange(what, k, "is removed"))
		}
	}
	return s
}

func diffFields[T any](what, name string, a, b T) []Change {
	s := []Change{}
	x := reflect.ValueOf(a)
	y := reflect.ValueOf(b)
	for i := range x.NumField() {
		f := x.Type().Field(i)
		if reflect.DeepEqual(x.Field(i).Interface(), y.Field(i).Interface()) {
			continue
		}
		text := fmt.Sprintf("%s %v becomes %v", tagName(f), x.Field(i).Interface(), y.Field(i).Interface())
		s = append(s, newChange(what, name, text))
	}
	return s
}

func newChange(what, name, text string) Change {
	return Change{
		Path: fmt.Sprintf("%s %q", what, name),
		Text: text,
	}
}

func tagName(f reflect.StructField) string {
	s := f.Tag.Get("json")
	for i := range len(s) {
		if s[i] == ',' {
			return s[:i]
		}
	}
	return s
}
