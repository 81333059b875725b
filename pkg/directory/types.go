// Package directory maintains the configuration in force and the list of backend servers. Both are kept in the platform's
// store. One entry VM of a region reads the store once a second and distributes the result to its peers. A VM that has not
// received a recent result in time reads the store itself, and one that cannot reach the store fetches a snapshot from a peer.
package directory

import (
	"bytes"
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hornbeamway/hornbeamway/pkg/jsonlist"
	"github.com/hornbeamway/hornbeamway/pkg/routing"
)

// Errors of a Store.
var (
	// ErrUnavailable reports a call to which the store did not respond, or that it refused.
	ErrUnavailable = errors.New("store unavailable")
	// ErrExpired reports that the store no longer retains the records at the requested offset.
	ErrExpired = errors.New("records have expired")
	// ErrTooManyRecords reports that a topic holds more records than fit into the memory for one read.
	ErrTooManyRecords = errors.New("too many records")
	// ErrEraChanged reports that the responses of one read state different eras. It is also an ErrUnavailable.
	ErrEraChanged = errors.New("the era of the store changed during the read")
)

// Topic is a kind of record in the store.
type Topic uint8

// Topics of the store.
const (
	// Configuration holds the configuration that operators write.
	Configuration Topic = iota
	// Servers holds the records that backend servers publish about themselves, by server id.
	Servers
	// VMs holds the records of the entry VMs, by address.
	VMs
)

var topicNames = [...]string{"configuration", "servers", "vms"}

// String returns the name of the topic for logs.
func (t Topic) String() string { return topicNames[t] }

// Record is one record of a topic. The newest record of a key replaces earlier ones.
type Record struct {
	Key string
	// Value is empty if the key was removed.
	Value  []byte
	Offset int64
}

// revision returns the revision of the topic with this record as its last one.
func (r *Record) revision() int64 { return r.Offset + 1 }

// Batch is the result of a read.
type Batch struct {
	Records []Record
	// Next is the offset at which the next read starts.
	Next int64
	// Era is the era of the store that all responses of the read state, 0 if they state none. See Position.
	Era int64
	// sinceEra is the era of the offset from which a read of changes started. The follower sets it.
	sinceEra int64
}

// Store reads and writes records in the platform's store.
type Store interface {
	// Newest returns the newest record of each key. Error: ErrUnavailable, also if there are too many.
	Newest(ctx context.Context, topic Topic) (Batch, error)
	// Read returns the records from an offset on. It does not wait for new ones. Errors: ErrUnavailable, ErrExpired,
	// ErrTooManyRecords.
	Read(ctx context.Context, topic Topic, from int64) (Batch, error)
	// Publish sets a record of the topic VMs, or removes it if value is empty. The write may still take effect after
	// ErrUnavailable.
	Publish(ctx context.Context, key string, value []byte) error
}

// Codec decodes records. The caller ignores a record for which it returns an error.
type Codec interface {
	// DecodeConfiguration returns the routing table. ok is false if the key holds no routing table.
	DecodeConfiguration(key string, value []byte) (table *routing.Table, ok bool, err error)
	DecodeServer(id string, value []byte) (Server, error)
}

// Server describes a backend server as it registered in the store.
type Server struct {
	ID         string `json:"id"`
	Service    string `json:"service"`
	Address    string `json:"address"`
	DataCentre string `json:"dataCentre"`
	Region     string `json:"region"`
	// Slots is the number of requests that the server runs concurrently.
	Slots int `json:"slots"`
	// Leaving excludes the server from new requests.
	Leaving bool `json:"leaving,omitempty"`
	// Incarnation is the start time of the server in Unix milliseconds on its own clock, which may step back. Sequence numbers its
	// records since then.
	Incarnation int64 `json:"incarnation"`
	Sequence    int64 `json:"sequence"`
	// Revision is the offset after the record in the store. It is 0 if a VM of an earlier version sent the server. Era is the era of
	// the store in which the record was read.
	Revision int64 `json:"revision,omitempty"`
	Era      int64 `json:"era,omitempty"`
	// WarmUpMillis is the remaining warm-up time, in which the server is slow, counted from the read of the record.
	WarmUpMillis int64 `json:"warmUpMs,omitempty"`
	// WarmUntil is the end of the warm-up on the clock of this VM.
	WarmUntil time.Time `json:"-"`
}

// Position returns the position after the record in the store.
func (s *Server) Position() Position { return Position{Era: s.Era, Offset: s.Revision} }

// reasonToIgnore returns why s, which is not before old in the store, does not replace it, and an empty string if it does. The
// start times of two starts do not order them: the clock of the server may have been ahead. Within one start the sequence numbers
// do, because a write that was not acknowledged may be executed after a later one, and a copy of the store holds earlier records.
func (s *Server) reasonToIgnore(old *Server) string {
	switch {
	case s.Incarnation == 0 && old.Incarnation != 0:
		return "start time missing" // A server states it always or never; the record is from another writer.
	case s.Incarnation != 0 && s.Incarnation == old.Incarnation && s.Sequence < old.Sequence:
		return "lower sequence number of the same start"
	}
	return ""
}

// equivalentTo reports whether s and old differ in nothing but their sequence number, position and warm-up time.
func (s *Server) equivalentTo(old *Server) bool {
	a, b := *s, *old
	a.Sequence, b.Sequence = 0, 0
	a.Revision, b.Revision = 0, 0
	a.Era, b.Era = 0, 0
	a.WarmUpMillis, b.WarmUpMillis = 0, 0
	a.WarmUntil, b.WarmUntil = time.Time{}, time.Time{}
	return a == b
}

// Digest summarizes the versions that a VM has and their age, for comparison with those of its peers.
type Digest struct {
	// ConfigVersion is the version of the configuration in force, 0 if there is none.
	ConfigVersion int64
	// Era is the era of the store in which it was read. All offsets of the digest belong to it.
	Era int64
	// ServersRevision is the offset after the last record that changed a server.
	ServersRevision int64
	// ConfigNext and ServersNext are the offsets up to which the store was read.
	ConfigNext, ServersNext int64
	// AgeMillis is the time since a read of the store confirmed these versions, -1 if none has. Reader identifies the VM that
	// read the store, and Reading numbers its reads. A digest that is forwarded loses the transit time of the datagrams from
	// its age, so that each reading may be applied only once.
	AgeMillis, Reader, Reading int64
}

// serversPosition returns the position after the last record that changed a server.
func (d Digest) serversPosition() Position { return Position{Era: d.Era, Offset: d.ServersRevision} }

// serversRead returns the offset up to which the servers are known: by reading, or from a snapshot, which contains all records before its
// revision. It is 0 if nothing is known.
func (d Digest) serversRead() int64 { return max(d.ServersNext, d.ServersRevision) }

// newerThan reports whether d has a newer configuration or a newer list of servers than old.
func (d Digest) newerThan(old Digest) bool {
	return d.ConfigVersion > old.ConfigVersion || old.serversPosition().Before(d.serversPosition())
}

// sameVersions reports whether d and other have the same configuration and the same servers.
func (d Digest) sameVersions(other Digest) bool {
	return d.ConfigVersion == other.ConfigVersion && d.serversPosition() == other.serversPosition()
}

// Versions holds the versions that a VM has when it requests a snapshot.
type Versions struct {
	ConfigVersion   int64 `json:"configVersion"`
	ServersRevision int64 `json:"serversRevision"`
	// Era is the era of ServersRevision, 0 from a VM of an earlier version.
	Era int64 `json:"era,omitempty"`
}

// maxServers bounds the servers that are decoded from a snapshot.
const maxServers = 50_000

// ServerList is a list of servers from another VM.
type ServerList []Server

// UnmarshalJSON implements json.Unmarshaler. It rejects a list of more than maxServers.
func (l *ServerList) UnmarshalJSON(data []byte) (err error) {
	*l, err = jsonlist.Decode[Server](bytes.NewReader(data), maxServers)
	return err
}

// Snapshot holds the configuration and the servers of a VM as far as they are newer than those of the VM that requests it.
type Snapshot struct {
	Digest
	// ConfigKey and ConfigRecord are the key and the compressed value of the configuration's record in the store. They are
	// empty if the requesting VM has that version.
	ConfigKey    string `json:"configKey,omitempty"`
	ConfigRecord []byte `json:"configRecord,omitempty"`
	// Since is the revision from which on Servers and Removed list the changes; 0 means that the snapshot holds all servers.
	// CompressedServers then holds them as compressed JSON in place of Servers.
	CompressedServers []byte     `json:"all,omitempty"`
	Since             int64      `json:"since,omitempty"`
	Servers           ServerList `json:"servers,omitempty"`
	Removed           []string   `json:"removed,omitempty"`
	// Lapsed maps the ids of servers whose records lapsed during an outage of the store to the milliseconds for which they
	// are still used.
	Lapsed map[string]int64 `json:"lapsed,omitempty"`
	// EraAgeMillis is the time since the sender, or the VM from which it has the era, learnt of the era.
	EraAgeMillis int64 `json:"eraAgeMs,omitempty"`
	// Hidden maps the ids of listed servers that are not used to the milliseconds for which they are not: they had left before the
	// store came back from an older copy, which lists them.
	Hidden map[string]int64 `json:"hidden,omitempty"`
}
