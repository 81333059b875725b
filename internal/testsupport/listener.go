// Package testsupport holds helpers that tests of several packages share. It imports no package of the product, so that every
// test can import it.
package testsupport

import (
	"net"
	"sync/atomic"
	"testing"
)

// FailingListener returns Err from its first Accept.
type FailingListener struct {
	net.Listener
	Err    error
	failed atomic.Bool
}

// Accept implements net.Listener.
func (l *FailingListener) Accept() (net.Conn, error) {
	if !l.failed.Swap(true) {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Addr: l.Addr(), Err: l.Err}
	}
	return l.Listener.Accept()
}

// UnusedAddress returns an address that refuses connections because nothing listens on it.
func UnusedAddress(tb testing.TB) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	if err := l.Close(); err != nil {
		tb.Fatal(err)
	}
	return l.Addr().String()
}
