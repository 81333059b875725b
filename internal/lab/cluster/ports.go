package cluster

import (
	"fmt"
	"math/rand/v2"
	"net"

	"github.com/cockroachdb/errors"
)

// ErrNoPort reports that no free port was found.
var ErrNoPort = errors.New("no free port")

// Ports are taken below 32768, where Linux begins to choose ports of outgoing connections, so that a restarted process
// finds its port free.
const (
	firstPort    = 12000
	lastPort     = 32000
	portAttempts = 1000
)

// reservation holds a loopback address until the process that uses it is started.
type reservation struct {
	listener net.Listener
	address  string
}

// reserve finds a free loopback port and holds it.
func reserve() (*reservation, error) {
	for range portAttempts {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(lastPort-firstPort))
		if ln, err := net.Listen("tcp", address); err == nil {
			return &reservation{listener: ln, address: address}, nil
		}
	}
	return nil, ErrNoPort
}

// reserveAll returns n reservations.
func reserveAll(n int) ([]*reservation, error) {
	var all []*reservation
	for range n {
		r, err := reserve()
		if err != nil {
			release(all)
			return nil, err
		}
		all = append(all, r)
	}
	return all, nil
}

// release frees the ports for the processes that are to listen on them.
func release(all []*reservation) {
	for _, r := range all {
		_ = r.listener.Close()
	}
}
