package config

import (
	"encoding/json"
	"fmt"
	"sort"

	"github.com/cespare/xxhash/v2"

	"heatherford/core/code"
	"heatherford/core/intent"
)

// Part is a piece of a declaration that is stored and sent by itself. It is
// immutable.
type Part struct {
	Name string `json:"name"`
	// Data is the piece in JSON.
	Data []byte `json:"data"`
}

// digest identifies the part's name and content.
func (p Part) digest() uint64 {
	h := xxhash.New()
	// Writes to a hash return no error.
	_, _ = h.WriteString(p.Name)
	_, _ = h.Write([]byte{0})
	_, _ = h.Write(p.Data)
	return h.Sum64()
}

// piece is the content of a part. It is immutable. One of the groups of fields
// is set.
type piece struct {
	// Base is the declaration without endpoints, sites and blocks.
	Base *intent.Declaration `json:"base,omitempty"`
	// Upstream is the upstream that Endpoints belong to.
	Upstream  string            `json:"upstream,omitempty"`
	Endpoints []intent.Endpoint `json:"endpoints,omitempty"`
	Sites     []intent.Site     `json:"sites,omitempty"`
	Blocks    []intent.Block    `json:"blocks,omitempty"`
}

const (
	baseName     = "base"
	blocksPrefix = "blocks/"
)

// itemsPerPart is the most items that a part holds on average.
const itemsPerPart = 32

// split returns the pieces of d by the names of their parts.
func split(d *intent.Declaration) map[string]*piece {
	m := map[string]*piece{}
	b := *d
	b.Upstreams = make([]intent.Upstream, 0, len(d.Upstreams))
	b.Sites = nil
	b.Blocks = nil
	for _, u := range d.Upstreams {
		b.Upstreams = append(b.Upstreams, intent.Upstream{
			Name: u.Name,
		})
		splitEndpoints(m, u)
	}
	m[baseName] = &piece{
		Base: &b,
	}
	spread(d.Sites, "sites", func(s intent.Site) string { return s.Name }, func(name string, s []intent.Site) {
		m[name] = &piece{
			Sites: s,
		}
	})
	spread(d.Blocks, "blocks", func(b intent.Block) string { return b.Prefix.String() }, func(name string, s []intent.Block) {
		m[name] = &piece{
			Blocks: s,
		}
	})
	return m
}

func splitEndpoints(m map[string]*piece, u intent.Upstream) {
	spread(u.Endpoints, "endpoints/"+u.Name, func(e intent.Endpoint) string { return e.Name }, func(name string, s []intent.Endpoint) {
		m[name] = &piece{
			Upstream:  u.Name,
			Endpoints: s,
		}
	})
}

// spread distributes items over parts by the hash of their key. The number of
// parts is in the parts' names: it changes only when the number of items passes
// a power of two, and then all of them are new.
func spread[T any](items []T, section string, key func(T) string, emit func(name string, part []T)) {
	n := uint64(1)
	for n*itemsPerPart < uint64(len(items)) {
		n *= 2
	}
	parts := make([][]T, n)
	for _, x := range items {
		i := xxhash.Sum64String(key(x)) % n
		parts[i] = append(parts[i], x)
	}
	for i, p := range parts {
		if len(p) == 0 {
			continue
		}
		sort.Slice(p, func(a, b int) bool {
			return key(p[a]) < key(p[b])
		})
		emit(fmt.Sprintf("%s/%d/%d", section, n, i), p)
	}
}

// join returns the declaration that the pieces make up, without its blocks.
func join(m map[string]*piece) (*intent.Declaration, error) {
	b := m[baseName]
	if b == nil || b.Base == nil {
		return nil, code.New(code.DeclarationInvalid, "config: the version has no part %q", baseName)
	}
	d := *b.Base
	endpoints := map[string][]intent.Endpoint{}
	for _, n := range names(m) {
		p := m[n]
		d.Sites = append(d.Sites, p.Sites...)
		endpoints[p.Upstream] = append(endpoints[p.Upstream], p.Endpoints...)
	}
	d.Upstreams = make([]intent.Upstream, 0, len(b.Base.Upstreams))
	for _, u := range b.Base.Upstreams {
		e := endpoints[u.Name]
		sort.Slice(e, func(i, j int) bool {
			return e[i].Name < e[j].Name
		})
		d.Upstreams = append(d.Upstreams, intent.Upstream{
			Name:      u.Name,
			Endpoints: e,
		})
	}
	return &d, nil
}

// joinBlocks returns the blocks of all pieces.
func joinBlocks(m map[string]*piece) []intent.Block {
	s := []intent.Block(nil)
	for _, n := range names(m) {
		s = append(s, m[n].Blocks...)
	}
	return s
}

func names[T any](m map[string]T) []string {
	s := make([]string, 0, len(m))
	for n := range m {
		s = append(s, n)
	}
	sort.Strings(s)
	return s
}

// encode returns the part with the piece as content. The encoding is the same
// for equal pieces.
func encode(name string, p *piece) (Part, error) {
	b, err := json.Marshal(p)
	if err != nil {
		return Part{}, code.Wrap(code.DeclarationInvalid, err, "config: cannot encode part %q", name)
	}
	return Part{
		Name: name,
		Data: b,
	}, nil
}

// decode returns the content of a part. Blocks share the names of their sites.
func decode(p Part) (*piece, error) {
	q := &piece{}
	if err := json.Unmarshal(p.Data, q); err != nil {
		return nil, code.Wrap(code.DeclarationInvalid, err, "config: cannot decode part %q", p.Name)
	}
	sites := map[string]string{}
	for i, b := range q.Blocks {
		if _, ok := sites[b.Site]; !ok {
			sites[b.Site] = b.Site
		}
		q.Blocks[i].Site = sites[b.Site]
	}
	return q, nil
}
