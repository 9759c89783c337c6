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
	// keyringKey is the key of the row with the signing secrets.
	keyringKey = "once/keyring"
	// keyringInterval is how often the secrets are read again.
	keyringInterval = 30 * time.Second
	// probeInterval is how often the secrets are read while they are missing or
	// while the platform is down or slow. The read is also the platform's probe.
	probeInterval = 500 * time.Millisecond
	probeTimeout  = 2 * time.Second
	// refreshInterval is the least time between two reads of the secrets that
	// tokens with unknown secrets cause.
	refreshInterval = 200 * time.Millisecond
	evictInterval   = 5 * time.Second
	// maxKeptAnswerBytes bounds the body of an answer that is kept for later
	// copies.
	maxKeptAnswerBytes = 64 << 10
	// maxKeptBytes bounds the bodies of all kept answers together.
	maxKeptBytes = 32 << 20
)

// runBackground writes and sweeps rows, announces this process, refreshes the
// secrets and evicts entries until ctx ends.
func (o *Once) runBackground(ctx context.Context) {
	group := sync.WaitGroup{}
	defer group.Wait()
	group.Go(func() {
		o.rowWriter.run(ctx)
	})
	group.Go(func() {
		o.sweep(ctx)
	})
	o.refreshKeyring(ctx)
	probe := time.NewTicker(probeInterval)
	defer probe.Stop()
	evict := time.NewTicker(evictInterval)
	defer evict.Stop()
	lastRead := o.options.Now()
	announced := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-evict.C:
			o.evict()
		case <-probe.C:
			if !announced {
				announced = o.announce(ctx)
			}
			now := o.options.Now()
			if now.Sub(lastRead) >= keyringInterval || o.keyring.Load() == nil || o.health.mode() != ticket.Claimed {
				o.refreshKeyring(ctx)
				lastRead = now
			}
		}
	}
}

// refreshKeyring reads the signing secrets from the platform. If that fails while
// this host has none, it fetches them from another host.
func (o *Once) refreshKeyring(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	start := o.options.Now()
	err := o.loadKeyring(ctx)
	if code.Of(err) == code.PlatformConflict {
		// Another host has added a secret at the same time.
		err = o.loadKeyring(ctx)
	}
	if ctx.Err() == nil || start.Add(probeTimeout).Before(o.options.Now()) {
		o.health.observe(o.options.Now().Sub(start), err == nil)
	}
	if err == nil {
		return
	}
	level.Debug(o.options.Log).Log("msg", "once: cannot read the secrets", "err", err)
	if o.keyring.Load() == nil {
		o.fetchKeyring(ctx)
	}
}

// loadKeyring uses the secrets in the table and adds a new one to the table if the
// newest is too old. If two hosts do so, one gets PlatformConflict and has to read
// again.
func (o *Once) loadKeyring(ctx context.Context) error {
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

// fetchKeyring fetches the secrets from one other host, chosen at random.
func (o *Once) fetchKeyring(ctx context.Context) {
	others := []store.Host{}
	for n, h := range o.options.Snapshot().Hosts {
		if n != o.options.Host {
			others = append(others, h)
		}
	}
	if len(others) == 0 {
		return
	}
	k, err := o.options.FetchKeyring(ctx, others[rand.IntN(len(others))])
	if err == nil && len(k.Secrets) > 0 {
		o.keyring.Store(&k)
	}
}

// Keyring returns the signing secrets that this host has, maybe none.
func (o *Once) Keyring() ticket.Keyring {
	k := o.keyring.Load()
	if k == nil {
		return ticket.Keyring{}
	}
	return *k
}

// keepAnswer returns the outcome with its answer if that fits into maxKeptBytes,
// else without it.
func (o *Once) keepAnswer(u ticket.Outcome) ticket.Outcome {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.keptBytes+len(u.Body) > maxKeptBytes {
		return ticket.Outcome{
			Code: u.Code,
		}
	}
	o.keptBytes += len(u.Body)
	return u
}

// evict removes the idle entries whose evictAt has come.
func (o *Once) evict() {
	now := o.now()
	o.mu.Lock()
	defer o.mu.Unlock()
	for k, e := range o.entries {
		if now.Before(e.evictAt) {
			continue
		}
		if n, idle := e.keptSize(); idle {
			o.keptBytes -= n
			delete(o.entries, k)
		}
	}
}

// keptSize returns the length of the kept answer's body, and whether the entry is
// idle: no round is in progress and no copy waits.
func (e *entry) keptSize() (int, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.run.Outcome.Body), e.waiting == 0 && (e.round == nil || e.round.isDone())
}
