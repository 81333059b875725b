// Package directory knows the configuration in force and the backend servers. Both are kept in the platform's store. One
// entry VM of a region reads the store once a second and tells the others; a VM that has not heard from it in time reads the
// store itself, and one that cannot reach the store takes over what another VM knows.
package directory

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hornbeamway/hornbeamway/pkg/routing"
)

// Errors of a Store.
var (
	// ErrUnavailable reports a call without an answer, or one that the store refused.
	ErrUnavailable = errors.New("store unavailable")
	// ErrExpired reports that the records from the requested offset on are no longer kept.
	ErrExpired = errors.New("records have expired")
)

// Topic is a kind of record in the store.
type Topic uint8

// The topics.
const (
	// Configuration holds the operators' configuration.
	Configuration Topic = iota
	// Servers holds what the backend servers say of themselves, by server id.
	Servers
	// VMs holds the addresses of the entry VMs, by address.
	VMs
)

var topicNames = [...]string{"configuration", "servers", "vms"}

// String returns the name used in logs.
func (t Topic) String() string { return topicNames[t] }

// Record is one record of a topic. The newest one of each key counts.
type Record struct {
	Key string
	// Value is empty if the key was removed.
	Value  []byte
	Offset int64
}

// Batch is the answer to a read.
type Batch struct {
	Records []Record
	// Next is the offset to read on from.
	Next int64
}

// Store is the platform's store.
type Store interface {
	// Newest returns the newest record of each key. Error: ErrUnavailable.
	Newest(ctx context.Context, topic Topic) (Batch, error)
	// Read returns the records from an offset on, without waiting. Errors: ErrUnavailable, ErrExpired.
	Read(ctx context.Context, topic Topic, from int64) (Batch, error)
	// Publish sets a record of VMs, or removes it if value is empty. After ErrUnavailable that may still happen.
	Publish(ctx context.Context, key string, value []byte) error
}

// Codec decodes records. An error means that the record is to be ignored.
type Codec interface {
	// DecodeConfiguration returns the routes; ok is false for a key that holds something else.
	DecodeConfiguration(key string, value []byte) (table *routing.Table, ok bool, err error)
	DecodeServer(id string, value []byte) (Server, error)
}

// Server is one backend server.
type Server struct {
	ID         string `json:"id"`
	Service    string `json:"service"`
	Address    string `json:"address"`
	DataCentre string `json:"dataCentre"`
	Region     string `json:"region"`
	// Slots is the number of requests that the server runs at once.
	Slots int `json:"slots"`
	// Leaving servers get no new requests.
	Leaving bool `json:"leaving,omitempty"`
	// Incarnation is the start of the server in Unix milliseconds; Sequence counts what it has said since.
	Incarnation int64 `json:"incarnation"`
	Sequence    int64 `json:"sequence"`
	// WarmUpMillis is the time for which the server stays slow, counted from when the record was read.
	WarmUpMillis int64 `json:"warmUpMs,omitempty"`
	// WarmUntil is WarmUpMillis on this VM's clock.
	WarmUntil time.Time `json:"-"`
}

// supersedes reports whether s was said after old by the same server.
func (s *Server) supersedes(old *Server) bool {
	if s.Incarnation != old.Incarnation {
		return s.Incarnation > old.Incarnation
	}
	return s.Sequence >= old.Sequence
}

// sameAs reports whether s tells nothing that old did not.
func (s *Server) sameAs(old *Server) bool {
	a, b := *s, *old
	a.Sequence, b.Sequence = 0, 0
	a.WarmUpMillis, b.WarmUpMillis = 0, 0
	a.WarmUntil, b.WarmUntil = time.Time{}, time.Time{}
	return a == b
}

// Digest tells other VMs what a VM knows and how old that is.
type Digest struct {
	// ConfigVersion is the version of the configuration in force; 0: none.
	ConfigVersion int64
	// ServersRevision is the offset behind the last record that changed a server.
	ServersRevision int64
	// ConfigNext and ServersNext are the offsets up to which the store was read.
	ConfigNext, ServersNext int64
	// AgeMillis is the time since the store confirmed this. Reader and Reading name the VM that read the store and count its
	// reads, because a reading that is told on loses the time that datagrams take and must not count twice.
	AgeMillis, Reader, Reading int64
}

// later reports whether d knows something that before did not.
func (d Digest) later(before Digest) bool {
	return d.ConfigVersion > before.ConfigVersion || d.ServersRevision > before.ServersRevision
}

// Known is what a VM that asks for a snapshot knows already.
type Known struct {
	ConfigVersion   int64 `json:"configVersion"`
	ServersRevision int64 `json:"serversRevision"`
}

// Snapshot is what a VM knows beyond what another one does, for that one to take over.
type Snapshot struct {
	Digest
	// ConfigKey and ConfigRecord are the record of the configuration as the store holds it, compressed; empty if the other VM
	// has it.
	ConfigKey    string `json:"configKey,omitempty"`
	ConfigRecord []byte `json:"configRecord,omitempty"`
	// Since is the revision of the servers from which on Servers and Removed tell the changes; 0: they are all. All are
	// Servers as compressed JSON where there are many.
	All     []byte   `json:"all,omitempty"`
	Since   int64    `json:"since,omitempty"`
	Servers []Server `json:"servers,omitempty"`
	Removed []string `json:"removed,omitempty"`
	// Lapsed are ids of servers whose entries were lost while the store was away, with the milliseconds for which they are
	// still used.
	Lapsed map[string]int64 `json:"lapsed,omitempty"`
}
