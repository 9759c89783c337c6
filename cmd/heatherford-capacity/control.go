package main

import (
	"encoding/json"
	"errors"
	"net/netip"

	"heatherford/core/grant"
	"heatherford/core/intent"
	"heatherford/core/lookup"
	"heatherford/core/store"
)

// lookupPart measures the table of callers' blocks.
func lookupPart() part {
	return part{
		name:  "lookup",
		of:    "blocks",
		sizes: []int{37_500, 75_000, 150_000, 300_000},
		plan:  planBlocks,
		measure: func(n int) ([]figure, error) {
			const hosts, endpoints = 100, 200
			d := newDeclaration(n, planSites, endpoints)
			t := lookup.New(lookup.Options{
				Declaration: d,
				Blocks:      lookup.NewBlocks(d),
				Hosts:       newHosts(hosts),
				Owners:      owners(endpoints, hosts),
				Zone:        zoneName(0),
			})
			i := 0
			f := []figure{
				{
					name:  "build the table of blocks",
					unit:  "ms",
					value: milliseconds(timeOf(func() { lookup.NewBlocks(d) })),
				},
				{
					name: "table of blocks",
					unit: "MiB",
					value: heapOf(func() any {
						return lookup.NewBlocks(d)
					}) / mib,
				},
				{
					name: "one look-up",
					unit: "us",
					value: microseconds(timeOf(func() {
						i++
						t.Decide("desk-urgent", caller(i%n))
					})),
				},
			}
			return f, nil
		},
	}
}

func caller(i int) netip.Addr {
	return blockPrefix(i).Addr().Next()
}

// owners gives each endpoint of a declaration an owner.
func owners(endpoints, hosts int) map[string]string {
	m := map[string]string{}
	i := 0
	for _, u := range newDeclaration(0, 1, endpoints).Upstreams {
		for _, e := range u.Endpoints {
			m[e.Name] = hostName(i % hosts)
			i++
		}
	}
	return m
}

// declarationPart measures the declaration as JSON, as a host parses it.
func declarationPart() part {
	return part{
		name:  "declaration",
		of:    "blocks",
		sizes: []int{37_500, 75_000, 150_000, 300_000},
		plan:  planBlocks,
		measure: func(n int) ([]figure, error) {
			b, err := json.Marshal(newDeclaration(n, planSites, planEndpoints))
			if err != nil {
				return nil, err
			}
			if _, problems := intent.Parse(b); len(problems) > 0 {
				return nil, errors.Join(problems...)
			}
			f := []figure{
				{
					name:  "JSON",
					unit:  "MiB",
					value: float64(len(b)) / mib,
				},
				{
					name:  "parse and validate",
					unit:  "ms",
					value: milliseconds(timeOf(func() { intent.Parse(b) })),
				},
				{
					name: "in memory",
					unit: "MiB",
					value: heapOf(func() any {
						d, _ := intent.Parse(b)
						return d
					}) / mib,
				},
			}
			return f, nil
		},
	}
}

// snapshotPart measures what one host does when the hosts or the declaration
// change: the preferred owners of all endpoints and the table's routes.
func snapshotPart() part {
	return part{
		name:  "snapshot",
		of:    "hosts, 2 endpoints each",
		sizes: []int{100, 200, 400},
		plan:  planHosts,
		measure: func(n int) ([]figure, error) {
			endpoints := n * 2
			d := newDeclaration(0, planSites, endpoints)
			hosts := newHosts(n)
			assign := timeOf(func() {
				grant.Assign(d, hosts, nil)
			})
			o := lookup.Options{
				Declaration: d,
				Hosts:       hosts,
				Owners:      owners(endpoints, n),
				Zone:        zoneName(0),
			}
			f := []figure{
				{
					name:  "assign, for an endpoint",
					unit:  "us",
					value: microseconds(assign) / float64(endpoints),
				},
				{
					name:  "routes",
					unit:  "ms",
					value: milliseconds(timeOf(func() { lookup.New(o) })),
				},
				{
					name: "routes in memory",
					unit: "KiB",
					value: heapOf(func() any {
						return lookup.New(o)
					}) / kib,
				},
			}
			return f, nil
		},
	}
}

// hostsPart measures the platform's list of hosts as every host reads it.
func hostsPart() part {
	return part{
		name:  "hosts",
		of:    "hosts",
		sizes: []int{375, 750, 1_500, 3_000},
		plan:  planHosts,
		measure: func(n int) ([]figure, error) {
			b, err := json.Marshal(newHosts(n))
			if err != nil {
				return nil, err
			}
			s := []store.Host{}
			f := []figure{
				{
					name:  "list as JSON",
					unit:  "KiB",
					value: float64(len(b)) / kib,
				},
				{
					name:  "decode",
					unit:  "ms",
					value: milliseconds(timeOf(func() { _ = json.Unmarshal(b, &s) })),
				},
			}
			return f, nil
		},
	}
}
