// Package fixedtable lets tests fill a directory.State with a given configuration and given servers, without a store.
package fixedtable

import (
	"github.com/hornbeamway/hornbeamway/pkg/directory"
	"github.com/hornbeamway/hornbeamway/pkg/routing"
)

// Codec implements directory.Codec. It decodes every configuration as Table.
type Codec struct{ Table *routing.Table }

// DecodeConfiguration implements directory.Codec.
func (c Codec) DecodeConfiguration(string, []byte) (*routing.Table, bool, error) {
	return c.Table, true, nil
}

// DecodeServer implements directory.Codec.
func (Codec) DecodeServer(string, []byte) (directory.Server, error) { return directory.Server{}, nil }

// emptyGzip is an empty record compressed with gzip.
var emptyGzip = []byte{31, 139, 8, 0, 0, 0, 0, 0, 0, 255, 1, 0, 0, 255, 255, 0, 0, 0, 0, 0, 0, 0, 0}

// Snapshot returns the first snapshot of a state that uses Codec, with the given servers.
func Snapshot(servers ...directory.Server) directory.Snapshot {
	return directory.Snapshot{Digest: directory.Digest{ConfigVersion: 1, ServersRevision: 1}, ConfigKey: "config",
		ConfigRecord: emptyGzip, Servers: servers}
}
