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

// Ports are taken below 32768, where Linux begins to choose ports of outgoing connections, so that a restarted process
// finds its port free. They are divided into blocks, each used by one process at a time: a port is free for a moment
// between its reservation and the start of the child that listens on it, and another process must not take it then.
const (
	firstPort  = 12000
	lastPort   = 32000
	blockSize  = 250
	blockCount = (lastPort - firstPort) / blockSize
)

// reservation holds a loopback address until the process that uses it is started.
type reservation struct {
	listener net.Listener
	address  string
}

// portBlock is the block that this process takes ports from. The listener on the first port of a block marks it as used
// until the process ends.
var portBlock struct {
	mu      sync.Mutex
	markers []net.Listener
	next    int
	end     int
}

func listenOn(port int) (net.Listener, error) {
	return net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
}

// reserve finds a free loopback port and holds it. Ports of a block are handed out once.
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
		if err := takeBlock(); err != nil {
			return nil, err
		}
	}
}

// takeBlock marks a block that no process uses. The caller holds the lock.
func takeBlock() error {
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
