package directory

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"
)

// maxRounds bounds the rounds of one reading of the store: the second one reads all records after the era has changed, the third one
// those of an era that has begun meanwhile.
const maxRounds = 3

// reading holds the results of one reading of the store. A topic is complete if its batch is all that the store holds.
type reading struct {
	config, servers                 Batch
	configRead, serversRead         bool
	configComplete, serversComplete bool
}

// readAll reads the configuration and the servers, and applies them. It returns the era in which it has read both. If one of them cannot be
// read, it applies the other one and fails. The timeout applies to each round.
func (f *Follower) readAll(ctx context.Context, timeout time.Duration) (era int64, err error) {
	for range maxRounds {
		r, err := f.readTopics(ctx, timeout, f.state.Digest().Era < f.statedEra)
		f.statedEra = f.state.latestEra(&r)
		if err != nil {
			return 0, err
		}
		if era, ok := f.state.continuedBy(&r); ok {
			return era, nil
		}
		if f.statedEra < f.state.Digest().Era {
			break
		}
		f.awaitPeerInEra(ctx, f.statedEra)
	}
	return 0, errors.Wrapf(ErrUnavailable, "the topics state different eras, or an earlier one than is known: %d", f.statedEra)
}

// awaitPeerInEra gives the VMs that read the store before this one time to read all records of a new era and to pass them on, so that
// the VMs of a region do not all read them.
func (f *Follower) awaitPeerInEra(ctx context.Context, era int64) {
	for range min(f.peers.ReadRank(), primaryReaders) {
		if f.state.Digest().Era >= era {
			return
		}
		f.sleep(ctx, standbyStep)
	}
}

// readTopics reads both topics, completely or from where the state ends, and applies each as soon as it is read if it belongs to the
// present era. After a failure it reads one topic after the other and stops at an error, because a call that fails is paid for, too.
func (f *Follower) readTopics(ctx context.Context, timeout time.Duration, complete bool) (r reading, err error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	d := f.state.Digest()
	readConfiguration := func() (err error) {
		r.config, r.configComplete, err = f.readTopic(ctx, Configuration, Position{d.Era, d.ConfigNext}, !complete && d.ConfigVersion != 0)
		if r.configRead = err == nil; r.configRead {
			f.state.applyConfiguration(r.config, r.configComplete)
		}
		return err
	}
	readServers := func() (err error) {
		r.servers, r.serversComplete, err = f.readTopic(ctx, Servers, Position{d.Era, d.serversRead()}, !complete && (d.serversRead() > 0 || d.AgeMillis >= 0))
		if r.serversRead = err == nil; r.serversRead {
			f.state.startGracePeriod()
			f.state.applyServers(r.servers, r.serversComplete)
		}
		return err
	}
	if f.failures == 0 {
		var group errgroup.Group
		group.Go(readConfiguration)
		group.Go(readServers)
		err = group.Wait()
	} else {
		first, second := readConfiguration, readServers
		if f.serversFirst {
			first, second = second, first
		}
		if err = first(); err == nil {
			err = second()
		}
	}
	if err == nil && complete {
		f.state.applyConfiguration(r.config, true) // again, because its era may have begun with the servers
	}
	if r.configRead != r.serversRead {
		f.serversFirst = r.serversRead
	} else if err != nil {
		f.serversFirst = !f.serversFirst
	}
	return r, err
}

// readTopic reads the records from a position on if incremental is true and they have not expired and are not too many, and otherwise the
// newest record of each key; complete is true in the second case.
func (f *Follower) readTopic(ctx context.Context, topic Topic, from Position, incremental bool) (
	batch Batch, complete bool, err error,
) {
	if incremental {
		storeReads.Inc()
		batch, err = f.store.Read(ctx, topic, from.Offset)
		batch.sinceEra = from.Era
		if !errors.IsAny(err, ErrExpired, ErrTooManyRecords) {
			return batch, false, errors.Wrapf(err, "read topic %s from offset %d", topic, from.Offset)
		}
		klog.InfoS("reading the newest record of each key", "topic", topic, "from", from.Offset, "reason", err)
	}
	storeReads.Inc()
	batch, err = f.store.Newest(ctx, topic)
	return batch, true, errors.Wrapf(err, "read all of topic %s", topic)
}
