package config

import (
	"encoding/json"
	"fmt"
	"sort"

	"github.com/cespare/xxhash/v2"

	"heatherford/core/code"
	"heatherford/core/intent"
)

// Part is a section of a declaration that is stored and sent separately. It is
// immutable.
type Part struct {
	Name string `json:"name"`
	// Data is the content in JSON.
	Data []byte `json:"data"`
}

// digest returns a hash of the part's name and data.
func (p Part) digest() uint64 {
	h := xxhash.New()
	// Writes to a hash return no error.
	_, _ = h.WriteString(p.Name)
	_, _ = h.Write([]byte{0})
	_, _ = h.Write(p.Data)
	return h.Sum64()
}

// content is the decoded content of a part. It is immutable. Exactly one of Base,
// Endpoints with Upstream, Sites and Blocks is set.
type content struct {
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

// maxMeanItems is the most items that a part holds on average.
const maxMeanItems = 32

// split returns the contents of the parts of d by the names of the parts.
func split(d *intent.Declaration) map[string]*content {
	m := map[string]*content{}
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
	m[baseName] = &content{
		Base: &b,
	}
	splitItems(d.Sites, "sites", func(s intent.Site) string { return s.Name }, func(name string, s []intent.Site) {
		m[name] = &content{
			Sites: s,
		}
	})
	splitItems(d.Blocks, "blocks", func(b intent.Block) string { return b.Prefix.String() }, func(name string, s []intent.Block) {
		m[name] = &content{
			Blocks: s,
		}
	})
	return m
}

func splitEndpoints(m map[string]*content, u intent.Upstream) {
	splitItems(u.Endpoints, "endpoints/"+u.Name, func(e intent.Endpoint) string { return e.Name }, func(name string, s []intent.Endpoint) {
		m[name] = &content{
			Upstream:  u.Name,
			Endpoints: s,
		}
	})
}

// splitItems distributes items over parts by a hash of their keys. The number of
// parts is a power of two and appears in the names of the parts. It changes only
// when the number of items passes a power of two; all these parts are then new.
func splitItems[T any](items []T, section string, key func(T) string, emit func(name string, part []T)) {
	n := uint64(1)
	for n*maxMeanItems < uint64(len(items)) {
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

// join returns the declaration that the contents form, without its blocks.
func join(m map[string]*content) (*intent.Declaration, error) {
	b := m[baseName]
	if b == nil || b.Base == nil {
		return nil, code.New(code.DeclarationInvalid, "config: the version has no part %q", baseName)
	}
	d := *b.Base
	endpoints := map[string][]intent.Endpoint{}
	for _, n := range sortedKeys(m) {
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

// joinBlocks returns the blocks of all contents.
func joinBlocks(m map[string]*content) []intent.Block {
	s := []intent.Block(nil)
	for _, n := range sortedKeys(m) {
		s = append(s, m[n].Blocks...)
	}
	return s
}

func sortedKeys[T any](m map[string]T) []string {
	s := make([]string, 0, len(m))
	for n := range m {
		s = append(s, n)
	}
	sort.Strings(s)
	return s
}

// encode returns the part with the given name and content. Equal contents have
// equal encodings.
func encode(name string, p *content) (Part, error) {
	b, err := json.Marshal(p)
	if err != nil {
		return Part{}, code.Wrap(code.DeclarationInvalid, err, "config: cannot encode part %q", name)
	}
	return Part{
		Name: name,
		Data: b,
	}, nil
}

// decode returns the content of a part. Blocks of the same site share one string
// for its name, which saves memory.
func decode(p Part) (*content, error) {
	q := &content{}
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
