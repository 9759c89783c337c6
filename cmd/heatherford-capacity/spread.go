package main

import (
	"encoding/json"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"heatherford/core/config"
	"heatherford/core/grant"
	"heatherford/core/intent"
	"heatherford/core/member"
	"heatherford/core/quota"
	"heatherford/core/store"
	"heatherford/core/strict"
	"heatherford/io/peer/peerpb"
)

// bundleOf returns the bundle of d as version number n.
func bundleOf(d *intent.Declaration, n uint64) (*config.Bundle, error) {
	return config.New(&intent.Version{
		Number:      n,
		Declaration: d,
	})
}

// changePart measures a change of one endpoint, and one of a block, as a host
// takes it.
func changePart() part {
	return part{
		name:  "change",
		of:    "blocks",
		sizes: []int{37_500, 75_000, 150_000, 300_000},
		plan:  planBlocks,
		measure: func(n int) ([]figure, error) {
			old, err := bundleOf(newDeclaration(n, planSites, planEndpoints), 1)
			if err != nil {
				return nil, err
			}
			d := newDeclaration(n, planSites, planEndpoints)
			d.Upstreams[0].Endpoints[0].Leaving = true
			endpoint, err := measureChange(old, d, "an endpoint")
			if err != nil {
				return nil, err
			}
			d = newDeclaration(n, planSites, planEndpoints)
			d.Blocks[0].Site = d.Sites[1].Name
			block, err := measureChange(old, d, "a block")
			if err != nil {
				return nil, err
			}
			return append(endpoint, block...), nil
		},
	}
}

func measureChange(old *config.Bundle, d *intent.Declaration, what string) ([]figure, error) {
	next, err := bundleOf(d, old.Number+1)
	if err != nil {
		return nil, err
	}
	delta, err := next.DeltaFor(old.Number, old.Digests())
	if err != nil {
		return nil, err
	}
	if _, err := old.Apply(delta); err != nil {
		return nil, err
	}
	return []figure{
		{
			name:  what + ": sent",
			unit:  "KiB",
			value: float64(delta.Bytes()) / kib,
		},
		{
			name: what + ": apply",
			unit: "ms",
			value: milliseconds(timeOf(func() {
				// It was applied before without an error.
				_, _ = old.Apply(delta)
			})),
		},
	}, nil
}

// bundlePart measures a declaration in parts in memory.
func bundlePart() part {
	return part{
		name:  "bundle",
		of:    "blocks",
		sizes: []int{37_500, 75_000, 150_000, 300_000},
		plan:  planBlocks,
		measure: func(n int) ([]figure, error) {
			if _, err := bundleOf(newDeclaration(n, planSites, planEndpoints), 1); err != nil {
				return nil, err
			}
			f := []figure{
				{
					name: "in memory",
					unit: "MiB",
					value: heapOf(func() any {
						// The same call gave no error before.
						b, _ := bundleOf(newDeclaration(n, planSites, planEndpoints), 1)
						return b
					}) / mib,
				},
			}
			return f, nil
		},
	}
}

// memberPart measures one host's view of the others.
func memberPart() part {
	return part{
		name:  "members",
		of:    "hosts",
		sizes: []int{375, 750, 1_500, 3_000},
		plan:  planHosts,
		measure: func(n int) ([]figure, error) {
			hosts := newHosts(n)
			view := func() *member.View {
				v := member.New(member.Options{
					Self: hosts[0],
					Now:  day,
				})
				v.SetListed(day, hosts)
				return v
			}
			v := view()
			now := day
			f := []figure{
				{
					name: "view",
					unit: "KiB",
					value: heapOf(func() any {
						return view()
					}) / kib,
				},
				{
					name: "one period",
					unit: "us",
					value: microseconds(timeOf(func() {
						now = now.Add(500 * time.Millisecond)
						h, _ := v.NextProbe()
						v.Gossip(h.Name)
						v.RecordMessage(now, member.Update{
							Host:  h,
							State: member.Alive,
						})
						v.Expire(now)
					})),
				},
				{
					name:  "who reads",
					unit:  "us",
					value: microseconds(timeOf(func() { v.Reader() })),
				},
				{
					name:  "take the platform's list",
					unit:  "ms",
					value: milliseconds(timeOf(func() { v.SetListed(now, hosts) })),
				},
			}
			return f, nil
		},
	}
}

// loadsPart measures a message in which daemons swap owners' loads.
func loadsPart() part {
	return part{
		name:  "loads",
		of:    "zones",
		sizes: []int{6, 12, 32},
		plan:  planZones,
		measure: func(n int) ([]figure, error) {
			const loads = 12
			m := &peerpb.LoadsMessage{}
			for i := range loads {
				x := &peerpb.HostLoad{
					Host:          hostName(i),
					Upstream:      upstreamNames[i%len(upstreamNames)],
					Sequence:      uint64(day.UnixMilli()),
					Slots:         2 * slots,
					UseHundredths: []uint32{300, 200, 100},
					ServiceMs:     20,
				}
				for range ranks * n {
					x.OriginHundredths = append(x.OriginHundredths, 100/uint32(n))
				}
				m.Loads = append(m.Loads, x)
			}
			f := []figure{
				{
					name:  "message with 12 loads",
					unit:  "KiB",
					value: float64(proto.Size(m)) / kib,
				},
			}
			return f, nil
		},
	}
}

// newRow returns a grant's row under the caps of the plan: links from all other
// regions and one shift.
func newRow(i int) grant.Row {
	l := quota.Limits{
		Slots: slots,
	}
	for r := range planRegion - 1 {
		l.Shares = append(l.Shares, quota.CapShare{
			Name:  quota.LinkCap(fmt.Sprintf("region-%d", r), "region-9"),
			Limit: 1,
		})
	}
	l.Shares = append(l.Shares, quota.CapShare{
		Name:  quota.ShiftCap("monday"),
		Limit: 1,
	})
	return grant.Row{
		Endpoint:    fmt.Sprintf("desk-%d", i),
		Owner:       hostName(i % planHosts),
		Incarnation: "mgk2x9ab",
		Standby:     hostName((i + 1) % planHosts),
		Epoch:       7,
		Renewal:     uint64(i),
		Term:        strict.Duration(grant.StandardTiming.Term),
		MaxDuration: strict.Duration(time.Second),
		Version:     1,
		Limits:      l,
		BeyondLease: l,
	}
}

// rowsPart measures a survey: all grants' rows, read and decoded by a host.
func rowsPart() part {
	return part{
		name:  "grant rows",
		of:    "endpoints",
		sizes: []int{375, 750, 1_500},
		plan:  planEndpoints,
		measure: func(n int) ([]figure, error) {
			rows := []store.Row{}
			bytes := 0
			for i := range n {
				b, err := json.Marshal(newRow(i))
				if err != nil {
					return nil, err
				}
				bytes += len(b)
				rows = append(rows, store.Row{
					Key:   grant.RowKey(fmt.Sprintf("desk-%d", i)),
					Value: b,
				})
			}
			f := []figure{
				{
					name:  "survey",
					unit:  "KiB",
					value: float64(bytes) / kib,
				},
				{
					name: "decode a survey",
					unit: "ms",
					value: milliseconds(timeOf(func() {
						for _, x := range rows {
							r := grant.Row{}
							// They were encoded above.
							_ = json.Unmarshal(x.Value, &r)
						}
					})),
				},
			}
			return f, nil
		},
	}
}
