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
	// Operation is the stable identifier of the confirmation.
	Operation string `json:"operation"`
	// Operator is the name of who confirmed.
	Operator    string    `json:"operator"`
	ConfirmedAt time.Time `json:"confirmed_at"`
	// Root is the sum of the digests of all parts, modulo 2^64.
	Root uint64 `json:"root"`
}

// Bundle is a version with its parts. It is immutable and safe for concurrent
// use.
type Bundle struct {
	Meta
	// Version is nil in the bundle of version 0.
	Version *intent.Version
	pieces  map[string]*piece
	// digests has the same keys as pieces.
	digests map[string]uint64
	// recent are the deltas that led here, the newest last. Each begins at or
	// before the version that the one before it ends at.
	recent []*Delta
}

// recentBytes bounds the deltas that a bundle keeps for other daemons.
const recentBytes = 1 << 20

// Empty returns version 0, which has no declaration.
func Empty() *Bundle {
	return &Bundle{
		pieces:  map[string]*piece{},
		digests: map[string]uint64{},
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
	b.pieces = split(v.Declaration)
	for n, p := range b.pieces {
		q, err := encode(n, p)
		if err != nil {
			return nil, err
		}
		b.digests[n] = q.digest()
		b.Root += b.digests[n]
	}
	return b.finish(joinBlocks(b.pieces))
}

// finish sets the version from the pieces and the blocks, which all pieces
// together make up.
func (b *Bundle) finish(blocks []intent.Block) (*Bundle, error) {
	d, err := join(b.pieces)
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

// Digests returns the digests of all parts by name. The caller does not change
// them.
func (b *Bundle) Digests() map[string]uint64 {
	return b.digests
}

// Delta is what turns one version into a later one. It is immutable.
type Delta struct {
	Meta
	// Base is the oldest version that the delta applies to.
	Base uint64 `json:"base"`
	// Parts are all parts that changed since Base.
	Parts []Part `json:"parts"`
	// Removed names the parts of Base that are gone.
	Removed []string `json:"removed,omitempty"`
}

// Bytes returns about how long the delta is.
func (d *Delta) Bytes() int {
	const overhead = 64
	n := overhead
	for _, p := range d.Parts {
		n += len(p.Name) + len(p.Data)
	}
	return n
}

// Apply returns the version that d leads to. It refuses a delta that does not
// fit b, which the sum of the digests shows, and one that is not newer.
func (b *Bundle) Apply(d *Delta) (*Bundle, error) {
	if d.Number <= b.Number {
		return nil, code.New(code.DeclarationInvalid, "config: version %d is not newer than version %d", d.Number, b.Number)
	}
	c := &Bundle{
		Meta:    d.Meta,
		pieces:  make(map[string]*piece, len(b.pieces)),
		digests: make(map[string]uint64, len(b.digests)),
	}
	root := b.Root
	for n, p := range b.pieces {
		c.pieces[n] = p
		c.digests[n] = b.digests[n]
	}
	for _, n := range d.Removed {
		root -= c.digests[n]
		delete(c.pieces, n)
		delete(c.digests, n)
	}
	for _, p := range d.Parts {
		q, err := decode(p)
		if err != nil {
			return nil, err
		}
		root += p.digest() - c.digests[p.Name]
		c.pieces[p.Name] = q
		c.digests[p.Name] = p.digest()
	}
	if root != d.Root {
		return nil, code.New(code.DeclarationInvalid, "config: the delta to version %d does not fit version %d", d.Number, b.Number)
	}
	c.recent = keepRecent(append(append([]*Delta{}, b.recent...), d))
	if b.Version != nil && !d.touchesBlocks() {
		return c.finish(b.Version.Declaration.Blocks)
	}
	return c.finish(joinBlocks(c.pieces))
}

// touchesBlocks reports whether d changes blocks. A version whose blocks are
// those of the one before shares its slice.
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

// keepRecent returns the newest deltas within the bound.
func keepRecent(s []*Delta) []*Delta {
	n := 0
	for i := len(s) - 1; i >= 0; i-- {
		n += s[i].Bytes()
		if n > recentBytes {
			return s[i+1:]
		}
	}
	return s
}

// Since returns the deltas that lead from the version to b, and whether b has
// them all.
func (b *Bundle) Since(number uint64) ([]*Delta, bool) {
	if number >= b.Number {
		return nil, true
	}
	for i, d := range b.recent {
		if d.Number > number {
			return b.recent[i:], d.Base <= number
		}
	}
	return nil, false
}

// DeltaFor returns the delta to b for a daemon whose parts have the digests.
func (b *Bundle) DeltaFor(base uint64, have map[string]uint64) (*Delta, error) {
	d := &Delta{
		Meta: b.Meta,
		Base: base,
	}
	for _, n := range names(b.pieces) {
		if have[n] == b.digests[n] {
			continue
		}
		p, err := encode(n, b.pieces[n])
		if err != nil {
			return nil, err
		}
		d.Parts = append(d.Parts, p)
	}
	for _, n := range names(have) {
		if _, ok := b.digests[n]; !ok {
			d.Removed = append(d.Removed, n)
		}
	}
	return d, nil
}
