package main

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"heatherford/core/code"
	"heatherford/core/intent"
	"heatherford/core/store"
	"heatherford/core/strict"
)

// labOptions say what lab to write.
type labOptions struct {
	declaration string
	user        string
	policy      string
	hosts       int
	basePort    int
	seconds     float64
	seed        uint64
}

// lab is a system of processes on loopback.
type lab struct {
	options     labOptions
	profile     profile
	declaration *intent.Declaration
	hosts       []labHost
	port        int
}

// labHost is a host's entry of the platform's list with its other addresses.
type labHost struct {
	store.Host
	operator  netip.AddrPort
	collector netip.AddrPort
}

// writeLab writes the settings of all processes, the declaration, and one file
// for each scenario to the directory.
func writeLab(dir string, o labOptions) error {
	p, ok := profiles()[o.user]
	if !ok {
		return fmt.Errorf("no user %q", o.user)
	}
	b, err := os.ReadFile(o.declaration)
	if err != nil {
		return err
	}
	d, problems := intent.Parse(b)
	if len(problems) > 0 {
		return problems[0]
	}
	const dirMode = 0o700
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return err
	}
	l := &lab{
		options:     o,
		profile:     p,
		declaration: d,
		port:        o.basePort,
	}
	return l.write(dir)
}

func (l *lab) next() netip.AddrPort {
	l.port++
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(l.port))
}

func (l *lab) write(dir string) error {
	platform, control := l.next(), l.next()
	l.addHosts()
	for i := range l.declaration.Upstreams {
		u := &l.declaration.Upstreams[i]
		for j := range u.Endpoints {
			u.Endpoints[j].Address = l.next()
		}
	}
	files := map[string]any{
		"declaration.json": l.declaration,
		"standin.json":     l.standin(platform, control),
	}
	for _, h := range l.hosts {
		files[h.Name+".json"] = l.daemon(h, platform)
	}
	for _, s := range l.scenarios(control) {
		files["scenario-"+s.Name+".json"] = s
	}
	for n, v := range files {
		b, err := json.MarshalIndent(v, "", "  ")
		if err != nil {
			return err
		}
		if err := os.WriteFile(filepath.Join(dir, n), b, fileMode); err != nil {
			return code.Wrap(code.SettingsUnreadable, err, "load: cannot write the lab")
		}
	}
	for n, v := range l.texts() {
		if err := os.WriteFile(filepath.Join(dir, n), []byte(v), fileMode); err != nil {
			return code.Wrap(code.SettingsUnreadable, err, "load: cannot write the lab")
		}
	}
	return nil
}

// texts returns the files that the lab's script reads: an operators' address
// and the hosts that a scenario kills.
func (l *lab) texts() map[string]string {
	lost := ""
	for _, h := range l.hosts {
		if h.Region == l.lostRegion() {
			lost += h.Name + "\n"
		}
	}
	return map[string]string{
		"operator":          l.hosts[0].operator.String(),
		"kills-owner_death": l.hosts[1].Name + "\n",
		"kills-region_loss": lost,
	}
}

// lostRegion is the region that the scenario region_loss ends.
func (l *lab) lostRegion() string {
	return l.declaration.Regions[len(l.declaration.Regions)-1].Name
}

// addHosts puts hosts into the zones in turn.
func (l *lab) addHosts() {
	zones := l.zones()
	for i := range l.options.hosts {
		z := zones[i%len(zones)]
		l.hosts = append(l.hosts, labHost{
			Host: store.Host{
				Name:          fmt.Sprintf("h%d", i+1),
				Zone:          z.Name,
				Region:        z.Region,
				State:         store.HostLive,
				CallerAddress: l.next(),
				PeerAddress:   l.next(),
			},
			operator:  l.next(),
			collector: l.next(),
		})
	}
}

func (l *lab) zones() []Zone {
	s := []Zone{}
	for i := range 2 {
		for _, r := range l.declaration.Regions {
			s = append(s, Zone{
				Name:    r.Zones[i],
				Region:  r.Name,
				Callers: l.profile.callers,
			})
		}
	}
	for i := range s {
		s[i].First = l.firstAddress(s[i].Name)
	}
	return s
}

// firstAddress returns an address of a block of the zone.
func (l *lab) firstAddress(zone string) netip.Addr {
	for _, s := range l.declaration.Sites {
		for _, b := range l.declaration.Blocks {
			if s.Zone == zone && b.Site == s.Name {
				return b.Prefix.Addr().Next()
			}
		}
	}
	return netip.IPv4Unspecified()
}

type labDaemon struct {
	Host             string         `json:"host"`
	Zone             string         `json:"availability_zone"`
	Region           string         `json:"region"`
	CallerAddress    netip.AddrPort `json:"caller_address"`
	PeerAddress      netip.AddrPort `json:"peer_address"`
	OperatorAddress  netip.AddrPort `json:"operator_address"`
	CollectorAddress netip.AddrPort `json:"collector_address"`
	Platform         labPlatform    `json:"platform"`
	Operators        labOpen        `json:"operators"`
	Peers            labOpen        `json:"peers"`
	Log              labLog         `json:"log"`
	Policy           string         `json:"policy,omitempty"`
}

type labPlatform struct {
	Adapter string `json:"adapter"`
	URL     string `json:"url"`
}

// labOpen lets everyone in, which a daemon accepts on loopback only.
type labOpen struct {
	Open bool `json:"open"`
}

type labLog struct {
	Level string `json:"level"`
}

func (l *lab) daemon(h labHost, platform netip.AddrPort) labDaemon {
	return labDaemon{
		Host:             h.Name,
		Zone:             h.Zone,
		Region:           h.Region,
		CallerAddress:    h.CallerAddress,
		PeerAddress:      h.PeerAddress,
		OperatorAddress:  h.operator,
		CollectorAddress: h.collector,
		Platform: labPlatform{
			Adapter: "http",
			URL:     "http://" + platform.String(),
		},
		Operators: labOpen{
			Open: true,
		},
		Peers: labOpen{
			Open: true,
		},
		Log: labLog{
			Level: "warn",
		},
		Policy: l.options.policy,
	}
}

type labStandin struct {
	PlatformAddress netip.AddrPort `json:"platform_address"`
	ControlAddress  netip.AddrPort `json:"control_address"`
	Hosts           []store.Host   `json:"hosts"`
	Endpoints       []labEndpoint  `json:"endpoints"`
	Network         labNetwork     `json:"network"`
	Seed            uint64         `json:"seed"`
}

type labNetwork struct {
	Zones   strict.Duration `json:"zones"`
	Regions strict.Duration `json:"regions"`
}

type labEndpoint struct {
	Name         string          `json:"name"`
	Address      netip.AddrPort  `json:"address"`
	Zone         string          `json:"availability_zone"`
	Region       string          `json:"region"`
	Slots        int             `json:"slots"`
	Connections  int             `json:"connections"`
	Service      strict.Duration `json:"service"`
	Sigma        float64         `json:"sigma"`
	LoadLag      strict.Duration `json:"load_lag"`
	ConnectCost  strict.Duration `json:"connect_cost"`
	ProbeCost    strict.Duration `json:"probe_cost"`
	ColdFactor   float64         `json:"cold_factor"`
	ColdRequests int             `json:"cold_requests"`
}

func (l *lab) standin(platform, control netip.AddrPort) labStandin {
	s := labStandin{
		PlatformAddress: platform,
		ControlAddress:  control,
		Network: labNetwork{
			Zones:   l.profile.network.Zones,
			Regions: l.profile.network.Regions,
		},
		Seed: l.options.seed,
	}
	for _, h := range l.hosts {
		s.Hosts = append(s.Hosts, h.Host)
	}
	for _, u := range l.declaration.Upstreams {
		for _, e := range u.Endpoints {
			s.Endpoints = append(s.Endpoints, l.endpoint(u, e))
		}
	}
	return s
}

func (l *lab) endpoint(u intent.Upstream, e intent.Endpoint) labEndpoint {
	const (
		sigma        = 0.3
		loadLag      = time.Second
		connectCost  = time.Millisecond
		coldFactor   = 3
		coldRequests = 20
	)
	return labEndpoint{
		Name:         e.Name,
		Address:      e.Address,
		Zone:         e.Zone,
		Region:       l.declaration.RegionOf(e.Zone),
		Slots:        e.Slots,
		Connections:  e.Connections,
		Service:      strict.Duration(l.profile.service[u.Name]),
		Sigma:        sigma,
		LoadLag:      strict.Duration(loadLag),
		ConnectCost:  strict.Duration(connectCost),
		ProbeCost:    strict.Duration(l.profile.probeCost),
		ColdFactor:   coldFactor,
		ColdRequests: coldRequests,
	}
}
