package cluster

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"

	"github.com/cockroachdb/errors"
)

// ErrNoPort reports that no free port was found.
var ErrNoPort = errors.New("no free port")

// Ports are allocated below 32768, where the Linux range for outgoing connections begins, so that the port of a restarted
// process is still free. They are divided into blocks, each used by one process at a time: between the release of its
// reservation and the start of the child that listens on it a port is briefly free, and no other process may allocate it.
const (
	firstPort  = 12000
	lastPort   = 32000
	blockSize  = 250
	blockCount = (lastPort - firstPort) / blockSize
)

// reservation keeps a loopback address occupied until the process that listens on it is started.
type reservation struct {
	listener net.Listener
	address  string
}

// portBlock is the block from which this process allocates ports. A listener on the first port of a block marks the block as
// used until the process ends.
var portBlock struct {
	mu      sync.Mutex
	markers []net.Listener
	next    int
	end     int
}

func listenOn(port int) (net.Listener, error) {
	return net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
}

// reserve finds a free loopback port and reserves it. Each port of a block is handed out at most once.
func reserve() (*reservation, error) {
	portBlock.mu.Lock()
	defer portBlock.mu.Unlock()
	for {
		for portBlock.next < portBlock.end {
			ln, err := listenOn(portBlock.next)
			portBlock.next++
			if err == nil {
				return &reservation{listener: ln, address: ln.Addr().String()}, nil
			}
		}
		if err := claimBlock(); err != nil {
			return nil, err
		}
	}
}

// claimBlock marks a block that no process uses as used by this process. The caller must hold the lock.
func claimBlock() error {
	for _, block := range rand.Perm(blockCount) {
		first := firstPort + block*blockSize
		if marker, err := listenOn(first); err == nil {
			portBlock.markers = append(portBlock.markers, marker)
			portBlock.next, portBlock.end = first+1, first+blockSize
			return nil
		}
	}
	return ErrNoPort
}

// reserveAll returns n reservations.
func reserveAll(n int) ([]*reservation, error) {
	var reservations []*reservation
	for range n {
		r, err := reserve()
		if err != nil {
			release(reservations)
			return nil, err
		}
		reservations = append(reservations, r)
	}
	return reservations, nil
}

// release closes the listeners, so that child processes can listen on the ports.
func release(reservations []*reservation) {
	for _, r := range reservations {
		_ = r.listener.Close()
	}
}
