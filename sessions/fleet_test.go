package sessions

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"heatherford/core/intent"
	"heatherford/core/settings"
	"heatherford/core/store"
	"heatherford/core/strict"
	"heatherford/standin/authority"
)

// fleetOptions describe a fleet of hosts with endpoints.
type fleetOptions struct {
	hosts     int
	endpoints int
	// service is the time of a request.
	service time.Duration
	// lookupTTL is how long look-ups are cached.
	lookupTTL time.Duration
	// keys makes operators show a key.
	keys bool
	// tls makes peers and operators speak TLS.
	tls bool
}

// fleetHost is one host's addresses.
type fleetHost struct {
	store.Host
	operator  netip.AddrPort
	collector netip.AddrPort
}

// fleet is the settings of a stand-in and of hosts over three regions with two
// availability zones each.
type fleet struct {
	options   fleetOptions
	platform  netip.AddrPort
	hosts     []fleetHost
	endpoints []intent.Endpoint
}

const (
	fleetUpstream = "desk"
	fleetKind     = "lookup"
	fleetOnce     = "charge"
	fleetSlots    = 4
)

var fleetRegions = []intent.Region{
	{
		Name:  "north",
		Zones: []string{"north-1", "north-2"},
	},
	{
		Name:  "south",
		Zones: []string{"south-1", "south-2"},
	},
	{
		Name:  "west",
		Zones: []string{"west-1", "west-2"},
	},
}

// newFleet returns a fleet whose addresses come from next.
func newFleet(o fleetOptions, next func() netip.AddrPort) *fleet {
	f := &fleet{
		options:  o,
		platform: next(),
	}
	for i := range o.hosts {
		r := fleetRegions[i%len(fleetRegions)]
		f.hosts = append(f.hosts, fleetHost{
			Host: store.Host{
				Name:          fmt.Sprintf("h%d", i+1),
				Zone:          r.Zones[i/len(fleetRegions)%len(r.Zones)],
				Region:        r.Name,
				State:         store.HostLive,
				CallerAddress: next(),
				PeerAddress:   next(),
			},
			operator:  next(),
			collector: next(),
		})
	}
	for i := range o.endpoints {
		r := fleetRegions[i%len(fleetRegions)]
		f.endpoints = append(f.endpoints, intent.Endpoint{
			Name:        fmt.Sprintf("desk-%d", i+1),
			Address:     next(),
			Zone:        r.Zones[i/len(fleetRegions)%len(r.Zones)],
			Slots:       fleetSlots,
			Connections: 100,
		})
	}
	return f
}

// declaration returns the fleet's first declaration.
func (f *fleet) declaration() *intent.Declaration {
	d := &intent.Declaration{
		Format: intent.Format,
		Name:   "fleet",
		Ranks: []intent.Rank{
			{
				Name:    "urgent",
				Planned: 1,
				Floor:   0.5,
			},
		},
		Upstreams: []intent.Upstream{
			{
				Name:      fleetUpstream,
				Endpoints: f.endpoints,
			},
		},
	}
	for _, r := range fleetRegions {
		r.Cap = fleetSlots * len(f.endpoints)
		d.Regions = append(d.Regions, r)
	}
	for _, n := range []string{fleetKind, fleetOnce} {
		d.Kinds = append(d.Kinds, intent.Kind{
			Name:       n,
			Rank:       "urgent",
			Upstream:   fleetUpstream,
			Repeatable: n == fleetKind,
			Deadline:   strict.Duration(5 * time.Second),
			Weight:     1,
		})
	}
	return d
}

// write writes standin.json, declaration.json and one file for each host.
func (f *fleet) write(dir string) error {
	endpoints := []map[string]any{}
	for _, e := range f.endpoints {
		endpoints = append(endpoints, map[string]any{
			"name":    e.Name,
			"address": e.Address,
			"slots":   e.Slots,
			"service": f.options.service.String(),
		})
	}
	files := map[string]any{
		"standin.json": map[string]any{
			"platform_address": f.platform,
			"hosts":            f.list(),
			"endpoints":        endpoints,
		},
		"declaration.json": f.declaration(),
	}
	ca := (*authority.Authority)(nil)
	if f.options.tls {
		a, err := authority.New(dir)
		if err != nil {
			return err
		}
		ca = a
	}
	for _, h := range f.hosts {
		s := f.settings(h)
		if err := secure(&s, ca); err != nil {
			return err
		}
		files[h.Name+".json"] = s
	}
	for n, v := range files {
		b, err := json.MarshalIndent(v, "", "  ")
		if err != nil {
			return err
		}
		const mode = 0o600
		if err := os.WriteFile(filepath.Join(dir, n), b, mode); err != nil {
			return err
		}
	}
	return nil
}

// secure makes a host speak TLS by certificates of the authority, if there is one.
func secure(s *settings.Settings, a *authority.Authority) error {
	if a == nil {
		return nil
	}
	t, err := a.Sign(s.Host)
	if err != nil {
		return err
	}
	s.Peers.Open = false
	s.Peers.TLS = t
	s.Operators.TLS = settings.TLS{
		CertificateFile: t.CertificateFile,
		KeyFile:         t.KeyFile,
	}
	return nil
}

// list returns the platform's list of hosts.
func (f *fleet) list() []store.Host {
	s := []store.Host{}
	for _, h := range f.hosts {
		s = append(s, h.Host)
	}
	return s
}

func (f *fleet) settings(h fleetHost) settings.Settings {
	s := settings.Settings{
		Host:             h.Name,
		Zone:             h.Zone,
		Region:           h.Region,
		CallerAddress:    h.CallerAddress,
		PeerAddress:      h.PeerAddress,
		OperatorAddress:  h.operator,
		CollectorAddress: h.collector,
		Platform: settings.Platform{
			Adapter: "http",
			URL:     fmt.Sprintf("http://%s/as/%s", f.platform, h.Name),
		},
		Operators: settings.Operators{
			Open: true,
		},
		Peers: settings.Peers{
			Open: true,
		},
		Log: settings.Log{
			Level:  "info",
			Format: "logfmt",
		},
		Limits: settings.Limits{
			RequestBytes: 1 << 20,
			LookupTTL:    strict.Duration(f.options.lookupTTL),
			StopDeadline: strict.Duration(20 * time.Second),
		},
		Policy: settings.PolicyOwners,
	}
	for _, o := range f.hosts {
		s.Peers.Seeds = append(s.Peers.Seeds, o.PeerAddress)
	}
	if f.options.keys {
		s.Operators = settings.Operators{
			KeysFile: "keys",
		}
	}
	return s
}
