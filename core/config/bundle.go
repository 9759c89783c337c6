package config

import (
	"strings"
	"time"

	"heatherford/core/code"
	"heatherford/core/intent"
)

// Meta describes a version without its declaration.
type Meta struct {
	Number uint64 `json:"version"`
	// Operation identifies the confirmation across retries.
	Operation string `json:"operation"`
	// Operator is the name of the operator who confirmed the version.
	Operator    string    `json:"operator"`
	ConfirmedAt time.Time `json:"confirmed_at"`
	// Checksum is the sum of the digests of all parts, modulo 2^64.
	Checksum uint64 `json:"root"`
}

// Bundle is a version of the declaration together with its encoded parts. It is
// immutable and safe for concurrent use.
type Bundle struct {
	Meta
	// Version is nil in the bundle of version 0.
	Version  *intent.Version
	contents map[string]*content
	// digests has the same keys as contents.
	digests map[string]uint64
	// recentDeltas are the latest deltas that led to this version, the newest
	// last. Each one's Base is at or before the version that its predecessor
	// leads to.
	recentDeltas []*Delta
}

// maxRecentBytes bounds the deltas that a bundle keeps to send to other hosts.
const maxRecentBytes = 1 << 20

// Empty returns the bundle of version 0, which has no declaration.
func Empty() *Bundle {
	return &Bundle{
		contents: map[string]*content{},
		digests:  map[string]uint64{},
	}
}

// New returns the bundle of v.
func New(v *intent.Version) (*Bundle, error) {
	b := Empty()
	b.Meta = Meta{
		Number:      v.Number,
		Operation:   v.Operation,
		Operator:    v.Operator,
		ConfirmedAt: v.ConfirmedAt,
	}
	b.contents = split(v.Declaration)
	for n, p := range b.contents {
		q, err := encode(n, p)
		if err != nil {
			return nil, err
		}
		b.digests[n] = q.digest()
		b.Checksum += b.digests[n]
	}
	return b.buildVersion(joinBlocks(b.contents))
}

// buildVersion sets b.Version from b.contents and the blocks. The blocks are
// passed in so that a version can share the slice of the version before it.
func (b *Bundle) buildVersion(blocks []intent.Block) (*Bundle, error) {
	d, err := join(b.contents)
	if err != nil {
		return nil, err
	}
	d.Blocks = blocks
	b.Version = &intent.Version{
		Number:      b.Number,
		Declaration: d,
		Operation:   b.Operation,
		Operator:    b.Operator,
		ConfirmedAt: b.ConfirmedAt,
	}
	return b, nil
}

// Digests returns the digests of all parts by name. The caller must not modify
// the map.
func (b *Bundle) Digests() map[string]uint64 {
	return b.digests
}

// Delta turns one version into a later one. It is immutable.
type Delta struct {
	Meta
	// Base is the oldest version that the delta applies to.
	Base uint64 `json:"base"`
	// Parts are all parts that changed since Base.
	Parts []Part `json:"parts"`
	// Removed names the parts of Base that no longer exist.
	Removed []string `json:"removed,omitempty"`
}

// Bytes returns the approximate encoded size of the delta.
func (d *Delta) Bytes() int {
	const overhead = 64
	n := overhead
	for _, p := range d.Parts {
		n += len(p.Name) + len(p.Data)
	}
	return n
}

// Apply returns the version that results from applying d to b. It returns
// DeclarationInvalid if d is not newer than b, or if the sum of the resulting
// digests shows that d does not fit b.
func (b *Bundle) Apply(d *Delta) (*Bundle, error) {
	if d.Number <= b.Number {
		return nil, code.New(code.DeclarationInvalid, "config: version %d is not newer than version %d", d.Number, b.Number)
	}
	c := &Bundle{
		Meta:     d.Meta,
		contents: make(map[string]*content, len(b.contents)),
		digests:  make(map[string]uint64, len(b.digests)),
	}
	root := b.Checksum
	for n, p := range b.contents {
		c.contents[n] = p
		c.digests[n] = b.digests[n]
	}
	for _, n := range d.Removed {
		root -= c.digests[n]
		delete(c.contents, n)
		delete(c.digests, n)
	}
	for _, p := range d.Parts {
		q, err := decode(p)
		if err != nil {
			return nil, err
		}
		root += p.digest() - c.digests[p.Name]
		c.contents[p.Name] = q
		c.digests[p.Name] = p.digest()
	}
	if root != d.Checksum {
		return nil, code.New(code.DeclarationInvalid, "config: the delta to version %d does not fit version %d", d.Number, b.Number)
	}
	c.recentDeltas = newestDeltas(append(append([]*Delta{}, b.recentDeltas...), d))
	if b.Version != nil && !d.touchesBlocks() {
		return c.buildVersion(b.Version.Declaration.Blocks)
	}
	return c.buildVersion(joinBlocks(c.contents))
}

// touchesBlocks reports whether d changes blocks. If it does not, the new version
// shares the slice of blocks with the version before it.
func (d *Delta) touchesBlocks() bool {
	for _, n := range d.Removed {
		if strings.HasPrefix(n, blocksPrefix) {
			return true
		}
	}
	for _, p := range d.Parts {
		if strings.HasPrefix(p.Name, blocksPrefix) {
			return true
		}
	}
	return false
}

// newestDeltas returns the newest deltas whose total size is at most
// maxRecentBytes.
func newestDeltas(s []*Delta) []*Delta {
	n := 0
	for i := len(s) - 1; i >= 0; i-- {
		n += s[i].Bytes()
		if n > maxRecentBytes {
			return s[i+1:]
		}
	}
	return s
}

// DeltasSince returns the deltas that lead from version number to b. It returns
// false if b no longer has all of them.
func (b *Bundle) DeltasSince(number uint64) ([]*Delta, bool) {
	if number >= b.Number {
		return nil, true
	}
	for i, d := range b.recentDeltas {
		if d.Number > number {
			return b.recentDeltas[i:], d.Base <= number
		}
	}
	return nil, false
}

// DeltaFor returns the delta to b for a host that has version base, whose parts
// have the digests in have.
func (b *Bundle) DeltaFor(base uint64, have map[string]uint64) (*Delta, error) {
	d := &Delta{
		Meta: b.Meta,
		Base: base,
	}
	for _, n := range sortedKeys(b.contents) {
		if have[n] == b.digests[n] {
			continue
		}
		p, err := encode(n, b.contents[n])
		if err != nil {
			return nil, err
		}
		d.Parts = append(d.Parts, p)
	}
	for _, n := range sortedKeys(have) {
		if _, ok := b.digests[n]; !ok {
			d.Removed = append(d.Removed, n)
		}
	}
	return d, nil
}
