package directory

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"k8s.io/klog/v2"
)

const (
	// maxRegisteredVMs is the number of VMs of a region that register in the store. registrationDelay is the time after the
	// start at which the rank of this VM among its peers is known.
	maxRegisteredVMs  = 3
	registrationDelay = 1500 * time.Millisecond
	// registrationInterval is the time after which a registered VM rewrites its record. staleRecordAge is the age from which
	// it removes the records of other VMs. Clocks of VMs may differ by seconds.
	registrationInterval = 5 * time.Minute
	staleRecordAge       = 3 * registrationInterval
	// reregistrationSpread bounds the random delay after which a registered VM rewrites its record in a new era of the store.
	reregistrationSpread = 2 * time.Second
	// registrationCheckInterval is how often a VM checks whether it is to register or to discover others: ranking hundreds of
	// VMs takes processor time.
	registrationCheckInterval = time.Second
	// discoveryInterval is how often a VM without a live peer in its region reads the addresses of entry VMs from the store.
	discoveryInterval = 5 * time.Second
)

// vmRecord is the value of an entry VM's record in the store. Its key is the address of the VM.
type vmRecord struct {
	// WrittenAt is the time of the write in Unix seconds.
	WrittenAt int64 `json:"writtenAt"`
}

// registerAndDiscover registers this VM in the store if it is one of the first VMs of the region, so that a VM without a live
// seed can discover its peers. If no peer of the region is live, it reads the addresses of other entry VMs from the store.
func (f *Follower) registerAndDiscover(ctx context.Context) {
	now := f.clock.Now()
	if !f.state.Ready() || now.Sub(f.started) < registrationDelay || now.Before(f.retryAt) || now.Before(f.nextRegistrationCheck) {
		return
	}
	f.nextRegistrationCheck = now.Add(registrationCheckInterval)
	f.registerAgainInNewEra(now)
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	if now.Sub(f.registeredAt) >= registrationInterval && f.peers.ReadRank() < maxRegisteredVMs {
		f.register(ctx, now)
	}
	if f.peers.Isolated() && now.Sub(f.lastDiscovery) >= discoveryInterval {
		f.lastDiscovery = now
		batch, err := f.store.Newest(ctx, VMs)
		if err != nil {
			klog.InfoS("failed to read VM records from the store", "err", err)
			return
		}
		f.addPeers(batch)
	}
}

// registerAgainInNewEra makes this VM register again after the store came back from an older copy, which may lack its record. A random
// delay keeps all registered VMs from writing at once.
func (f *Follower) registerAgainInNewEra(now time.Time) {
	era := f.state.Digest().Era
	if era == f.registeredEra {
		return
	}
	f.registeredEra = era
	if !f.registeredAt.IsZero() {
		f.registeredAt = now.Add(rand.N(reregistrationSpread) - registrationInterval)
	}
}

// register writes the record of this VM. From the second write on it also removes stale records of other VMs.
func (f *Follower) register(ctx context.Context, now time.Time) {
	record, err := json.Marshal(vmRecord{WrittenAt: now.Unix()})
	if err == nil {
		err = f.store.Publish(ctx, f.self, record)
	}
	if err != nil {
		klog.InfoS("failed to register this VM in the store", "err", err)
		f.retryAt = now.Add(retryMax)
		return
	}
	klog.InfoS("registered this VM in the store", "address", f.self)
	renewed := !f.registeredAt.IsZero()
	f.registeredAt = now
	if !renewed {
		return
	}
	batch, err := f.store.Newest(ctx, VMs)
	if err != nil {
		klog.InfoS("failed to read VM records from the store", "err", err)
		return
	}
	for _, record := range batch.Records {
		f.removeStale(ctx, record, now)
	}
}

func (f *Follower) removeStale(ctx context.Context, record Record, now time.Time) {
	var content vmRecord
	// A record that cannot be decoded counts as stale.
	if err := json.Unmarshal(record.Value, &content); err == nil && now.Sub(time.Unix(content.WrittenAt, 0)) < staleRecordAge {
		return
	}
	if err := f.store.Publish(ctx, record.Key, nil); err != nil {
		klog.InfoS("failed to remove a stale VM record from the store", "address", record.Key, "err", err)
		return
	}
	klog.InfoS("removed a stale VM record from the store", "address", record.Key, "writtenAt", content.WrittenAt)
}
