package once

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"heatherford/core/code"
	"heatherford/core/store"
	"heatherford/core/ticket"
)

const (
	// keyringKey is the key of the row with the hosts' secrets.
	keyringKey = "once/keyring"
	// keyringInterval is how often the secrets are read again.
	keyringInterval = 30 * time.Second
	// probeInterval is how often a platform that is down or slow is tried, and
	// secrets that are missing are asked for.
	probeInterval = 500 * time.Millisecond
	probeTimeout  = 2 * time.Second
	// refreshInterval is how often an unknown secret may make a host read them.
	refreshInterval = 200 * time.Millisecond
	forgetInterval  = 5 * time.Second
	// maxKeptAnswer is the longest answer that is kept.
	maxKeptAnswer = 64 << 10
	// maxKept bounds all kept answers together.
	maxKept = 32 << 20
)

// tend does the background work until ctx ends.
func (o *Once) tend(ctx context.Context) {
	group := sync.WaitGroup{}
	defer group.Wait()
	group.Go(func() {
		o.claims.run(ctx)
	})
	group.Go(func() {
		o.sweep(ctx)
	})
	o.probe(ctx)
	probe := time.NewTicker(probeInterval)
	defer probe.Stop()
	forget := time.NewTicker(forgetInterval)
	defer forget.Stop()
	read := o.options.Now()
	announced := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-forget.C:
			o.forget()
		case <-probe.C:
			if !announced {
				announced = o.announce(ctx)
			}
			now := o.options.Now()
			if now.Sub(read) >= keyringInterval || o.keyring.Load() == nil || o.health.mode() != ticket.Claimed {
				o.probe(ctx)
				read = now
			}
		}
	}
}

// probe reads the hosts' secrets from the platform, else from another host.
func (o *Once) probe(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	start := o.options.Now()
	err := o.readKeyring(ctx)
	if code.Of(err) == code.PlatformConflict {
		// Another host made the secret.
		err = o.readKeyring(ctx)
	}
	if ctx.Err() == nil || start.Add(probeTimeout).Before(o.options.Now()) {
		o.health.observe(o.options.Now().Sub(start), err == nil)
	}
	if err == nil {
		return
	}
	level.Debug(o.options.Log).Log("msg", "once: cannot read the secrets", "err", err)
	if o.keyring.Load() == nil {
		o.borrowKeyring(ctx)
	}
}

// readKeyring takes over the secrets in the table and makes a new one if the
// newest is too old. Of two hosts that do so one wins; the other reads again.
func (o *Once) readKeyring(ctx context.Context) error {
	rows, err := o.options.Store.Read(ctx, store.Query{
		Keys: []string{keyringKey},
	})
	if err != nil {
		return err
	}
	k := ticket.Keyring{}
	version := uint64(0)
	if len(rows) > 0 {
		version = rows[0].Version
		if err := json.Unmarshal(rows[0].Value, &k); err != nil {
			return code.Wrap(code.PlatformUnknown, err, "once: cannot decode the secrets")
		}
	}
	n, changed := k.Rotate(o.options.Now())
	if !changed {
		o.keyring.Store(&k)
		return nil
	}
	b, err := json.Marshal(n)
	if err != nil {
		return code.Wrap(code.PlatformUnknown, err, "once: cannot encode the secrets")
	}
	_, err = o.options.Store.Commit(ctx, store.Transaction{
		Conditions: []store.Condition{
			{
				Key:     keyringKey,
				Version: version,
			},
		},
		Writes: []store.Write{
			{
				Key:   keyringKey,
				Value: b,
			},
		},
	})
	if err == nil {
		o.keyring.Store(&n)
		return nil
	}
	if version > 0 {
		o.keyring.Store(&k)
	}
	return err
}

// borrowKeyring asks one other host for the secrets.
func (o *Once) borrowKeyring(ctx context.Context) {
	others := []store.Host{}
	for n, h := range o.options.Snapshot().Hosts {
		if n != o.options.Self {
			others = append(others, h)
		}
	}
	if len(others) == 0 {
		return
	}
	k, err := o.options.AskKeyring(ctx, others[rand.IntN(len(others))])
	if err == nil && len(k.Secrets) > 0 {
		o.keyring.Store(&k)
	}
}

// Keyring returns the secrets that this host knows.
func (o *Once) Keyring() ticket.Keyring {
	k := o.keyring.Load()
	if k == nil {
		return ticket.Keyring{}
	}
	return *k
}

// keep counts a kept answer, or drops it if too many are kept.
func (o *Once) keep(u ticket.Outcome) ticket.Outcome {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.kept+len(u.Body) > maxKept {
		return ticket.Outcome{
			Code: u.Code,
		}
	}
	o.kept += len(u.Body)
	return u
}

// forget drops the entries whose time has come.
func (o *Once) forget() {
	now := o.now()
	o.mu.Lock()
	defer o.mu.Unlock()
	for k, e := range o.entries {
		if now.Before(e.forgetAt) {
			continue
		}
		if n, idle := e.size(); idle {
			o.kept -= n
			delete(o.entries, k)
		}
	}
}

// size returns the length of the kept answer, and whether nothing is in
// progress and nobody waits.
func (e *entry) size() (int, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.run.Outcome.Body), e.copies == 0 && (e.round == nil || e.round.isEnded())
}
