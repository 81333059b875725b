package directory

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/samber/lo"
	"k8s.io/klog/v2"
)

const (
	// snapshotJitter bounds the random delay before a VM requests a snapshot from one with a newer state.
	snapshotJitter = 60 * time.Millisecond
	// relayTimeout is how long a VM that does not fetch changes from other data centres itself waits for a peer of its own data
	// centre to have them.
	relayTimeout = 250 * time.Millisecond
	// snapshotTimeout bounds the transfer of a snapshot between two VMs.
	snapshotTimeout = 500 * time.Millisecond
	// newerPeersCapacity bounds the queue of VMs with a newer state. A snapshot from any one of them is enough.
	newerPeersCapacity = 8
)

var snapshotsFetched = metrics.NewCounter(`hornbeamway_directory_snapshots_taken_total`)

// ObserveDigest processes the digest of the VM at an address, and queues the VM for a snapshot if its state is newer.
func (f *Follower) ObserveDigest(address string, d Digest) {
	if !f.state.ObserveDigest(d) {
		return
	}
	select {
	case f.newerPeers <- address:
	default: // The queued VMs have a state that is as new, or the VM at address is queued again with its next digest.
	}
}

// fetchFromSeeds fetches a snapshot from the first seed that has one, for a VM that cannot reach the store.
func (f *Follower) fetchFromSeeds(ctx context.Context) {
	for _, address := range f.peers.Seeds() {
		if f.fetchSnapshot(ctx, address) {
			return
		}
	}
}

// fetchSnapshots fetches snapshots from VMs with a newer state. It waits for a random time up to snapshotJitter and picks one
// of the VMs that have announced a newer state by then, so that not all VMs request it from the one that read the store.
func (f *Follower) fetchSnapshots(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-f.newerPeers:
			if !f.peers.IsRelay() {
				first = f.awaitPeerInDataCentre(ctx, first)
			}
			if f.state.Ready() {
				f.sleep(ctx, time.Duration(rand.Int64N(int64(snapshotJitter))))
			}
			f.fetchSnapshot(ctx, f.pickPeer(first))
		}
	}
}

func (f *Follower) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-f.clock.After(d):
	}
}

// awaitPeerInDataCentre returns the address of the first VM of this data centre that announces a newer state, or the address
// passed as first if none does within relayTimeout.
func (f *Follower) awaitPeerInDataCentre(ctx context.Context, first string) string {
	timeout := f.clock.After(relayTimeout)
	for address := first; ; {
		if f.peers.InSameDataCentre(address) {
			return address
		}
		select {
		case <-ctx.Done():
			return first
		case <-timeout:
			return first
		case address = <-f.newerPeers:
		}
	}
}

// pickPeer returns a random one of first and the queued VMs, one of this data centre if there are any, and drops the others.
// A VM that still has a newer state after the snapshot is queued again with its next digest.
func (f *Follower) pickPeer(first string) string {
	addresses := []string{first}
	for len(f.newerPeers) > 0 {
		addresses = append(addresses, <-f.newerPeers)
	}
	sameDataCentre := lo.Filter(addresses, func(address string, _ int) bool { return f.peers.InSameDataCentre(address) })
	if len(sameDataCentre) > 0 {
		addresses = sameDataCentre
	}
	return addresses[rand.IntN(len(addresses))]
}

// fetchSnapshot fetches a snapshot from the VM at an address and applies it. It reports whether that VM has a configuration.
func (f *Follower) fetchSnapshot(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	digest := f.state.Digest()
	snap, err := f.peers.Snapshot(ctx, address, Versions{ConfigVersion: digest.ConfigVersion,
		ServersRevision: digest.ServersRevision, Era: digest.Era})
	if err != nil {
		klog.InfoS("failed to fetch a snapshot from another VM", "vm", address, "err", err)
		return false
	}
	snapshotsFetched.Inc()
	f.state.ApplySnapshot(snap, address)
	if f.state.Digest().newerThan(digest) && f.peers.IsRelay() {
		f.peers.SendDigestNow()
	}
	return snap.ConfigVersion > 0
}
