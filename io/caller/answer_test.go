package caller

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"heatherford/core/intent"
	"heatherford/core/lookup"
	"heatherford/core/store"
)

func testTable() *lookup.Table {
	h := func(name, zone string) store.Host {
		return store.Host{
			Name:          name,
			Zone:          zone,
			Region:        "r",
			CallerAddress: netip.MustParseAddrPort("127.0.0.1:7000"),
		}
	}
	return lookup.New(lookup.Options{
		Declaration: &intent.Declaration{
			Ranks: []intent.Rank{
				{
					Name:    "urgent",
					Planned: 1,
				},
			},
			Kinds: []intent.Kind{
				{
					Name:     `a "kind" <of> work`,
					Rank:     "urgent",
					Upstream: "u",
				},
			},
			Regions: []intent.Region{
				{
					Name:  "r",
					Zones: []string{"z1", "z2"},
				},
			},
			Upstreams: []intent.Upstream{
				{
					Name: "u",
					Endpoints: []intent.Endpoint{
						{
							Name:  "e1",
							Zone:  "z1",
							Slots: 1,
						},
						{
							Name:  "e2",
							Zone:  "z2",
							Slots: 1,
						},
					},
				},
			},
		},
		Hosts: []store.Host{h("h1", "z1"), h(`h"2`, "z2")},
		Owners: map[string]string{
			"e1": "h1",
			"e2": `h"2`,
		},
		Zone: "z1",
	})
}

// TestLookupAnswerIsWhatJSONMakesOfIt compares the assembled answer with that of
// encoding/json, also for names that have to be escaped.
func TestLookupAnswerIsWhatJSONMakesOfIt(t *testing.T) {
	c := qt.New(t)
	const ttl = 2 * time.Second
	x := testTable()
	d, ok := x.Decide(`a "kind" <of> work`, netip.MustParseAddr("10.0.0.1"))
	c.Assert(ok, qt.IsTrue)
	c.Assert(d.Alternates[0], qt.IsNotNil)
	now := time.Unix(1_000_000, 123_000_000)
	w := newWriter(ttl)
	for range 2 {
		out := httptest.NewRecorder()
		w.write(out, now, 7, x, d)
		want, err := json.Marshal(Lookup{
			Kind:      d.Kind.Name,
			Rank:      d.Kind.Rank,
			Version:   7,
			Hosts:     []LookupHost{lookupHost(d.Host), lookupHost(d.Alternates[0])},
			ExpiresAt: now.Add(ttl).UTC(),
		})
		c.Assert(err, qt.IsNil)
		c.Assert(out.Body.String(), qt.Equals, string(want)+"\n")
		c.Assert(out.Header().Get("Expires"), qt.Equals, now.Add(ttl).UTC().Format(http.TimeFormat))
		c.Assert(out.Header().Get("Cache-Control"), qt.Equals, "private, max-age=2")
	}
}

func TestLookupQuery(t *testing.T) {
	c := qt.New(t)
	for _, s := range []string{"kind=a&caller=10.0.0.1", "x=1&caller=10.0.0.1&kind=a&kind=b", "kind=%61&caller=10.0.0.1"} {
		kind, caller := query(httptest.NewRequest(http.MethodGet, "/v1/lookup?"+s, nil))
		c.Assert(kind, qt.Equals, "a")
		c.Assert(caller, qt.Equals, "10.0.0.1")
	}
}
