// Package port reserves free loopback ports for processes and servers of the lab and of tests.
package port

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"
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

// Reservation keeps a loopback address occupied until the process that listens on it is started.
type Reservation struct {
	listener net.Listener
	Address  string
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
func reserve() (*Reservation, error) {
	portBlock.mu.Lock()
	defer portBlock.mu.Unlock()
	for {
		for portBlock.next < portBlock.end {
			ln, err := listenOn(portBlock.next)
			portBlock.next++
			if err == nil {
				return &Reservation{listener: ln, Address: ln.Addr().String()}, nil
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

// ReserveAll returns n reservations.
func ReserveAll(n int) ([]*Reservation, error) {
	var reservations []*Reservation
	for range n {
		r, err := reserve()
		if err != nil {
			Release(reservations)
			return nil, err
		}
		reservations = append(reservations, r)
	}
	return reservations, nil
}

// Release closes the listeners, so that child processes can listen on the ports.
func Release(reservations []*Reservation) {
	for _, r := range reservations {
		_ = r.listener.Close()
	}
}

// Addresses returns n different loopback addresses on which nothing listens. Each address is handed out at most once.
func Addresses(n int) ([]string, error) {
	reservations, err := ReserveAll(n)
	if err != nil {
		return nil, err
	}
	Release(reservations)
	return lo.Map(reservations, func(r *Reservation, _ int) string { return r.Address }), nil
}
