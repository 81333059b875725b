package directory

import (
	"context"
	"encoding/json"
	"time"

	"k8s.io/klog/v2"
)

const (
	// announcedVMs is the number of VMs of a region that are listed in the store, and announceAfter the time after the start
	// at which the order of the VMs is known.
	announcedVMs  = 3
	announceAfter = 1500 * time.Millisecond
	// announceInterval is how often a listed VM writes its record again, and staleRecord the age from which it removes those
	// of others. Clocks of VMs may differ by seconds.
	announceInterval = 5 * time.Minute
	staleRecord      = 3 * announceInterval
	// askVMsInterval is how often a VM that hears no other asks the store for them.
	askVMsInterval = 5 * time.Second
)

// vmRecord is what the store keeps of an entry VM, under its address.
type vmRecord struct {
	// WrittenAt is in Unix seconds.
	WrittenAt int64 `json:"writtenAt"`
}

// announce lists this VM in the store if it is one of those through which VMs without a live seed find the others, and asks
// the store for the others if none is heard.
func (f *Follower) announce(ctx context.Context) {
	now := f.clock.Now()
	if !f.state.Known() || now.Sub(f.started) < announceAfter || now.Before(f.nextTry) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	if now.Sub(f.announcedAt) >= announceInterval && f.peers.Rank() < announcedVMs {
		f.list(ctx, now)
	}
	if f.peers.Alone() && now.Sub(f.askedVMs) >= askVMsInterval {
		f.askedVMs = now
		found, err := f.store.Newest(ctx, VMs)
		if err != nil {
			klog.InfoS("VMs not read from the store", "err", err)
			return
		}
		f.joined(found)
	}
}

// list writes the record of this VM and, but for the first time, removes those of VMs that are gone.
func (f *Follower) list(ctx context.Context, now time.Time) {
	record, err := json.Marshal(vmRecord{WrittenAt: now.Unix()})
	if err == nil {
		err = f.store.Publish(ctx, f.self, record)
	}
	if err != nil {
		klog.InfoS("VM not added to the store", "err", err)
		f.nextTry = now.Add(retryMax)
		return
	}
	klog.InfoS("VM added to the store", "address", f.self)
	renewed := !f.announcedAt.IsZero()
	f.announcedAt = now
	if !renewed {
		return
	}
	found, err := f.store.Newest(ctx, VMs)
	if err != nil {
		klog.InfoS("VMs not read from the store", "err", err)
		return
	}
	for _, r := range found.Records {
		f.removeStale(ctx, r, now)
	}
}

func (f *Follower) removeStale(ctx context.Context, r Record, now time.Time) {
	var record vmRecord
	// A record that cannot be read counts as written long ago.
	if err := json.Unmarshal(r.Value, &record); err == nil && now.Sub(time.Unix(record.WrittenAt, 0)) < staleRecord {
		return
	}
	if err := f.store.Publish(ctx, r.Key, nil); err != nil {
		klog.InfoS("record of a VM not removed from the store", "address", r.Key, "err", err)
		return
	}
	klog.InfoS("record of a VM removed from the store", "address", r.Key, "writtenAt", record.WrittenAt)
}
