package ingress

import (
	"net"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"
)

// acceptRetryDelay is the pause after a temporary error of Accept.
const acceptRetryDelay = 50 * time.Millisecond

var acceptErrors = metrics.NewCounter(`hornbeamway_accept_errors_total`)

// retryListener repeats Accept after a temporary error.
type retryListener struct{ net.Listener }

// RetryAccept returns a listener whose Accept repeats after a temporary error, such as a lack of file descriptors. An HTTP server
// would end on it.
func RetryAccept(l net.Listener) net.Listener { return retryListener{l} }

// Accept implements net.Listener. It returns the error of a closed listener, and any other that is not temporary.
func (l retryListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err == nil || !isTemporary(err) {
			return c, err
		}
		acceptErrors.Inc()
		klog.InfoS("failed to accept a connection; retrying", "address", l.Addr(), "err", err)
		time.Sleep(acceptRetryDelay)
	}
}

// isTemporary reports whether an error of accept(2) leaves the listener usable: the process or the system lacks resources, or the
// connection failed, or was forbidden by a firewall rule (EPERM), before it was accepted.
func isTemporary(err error) bool {
	return errors.IsAny(err, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EINTR, syscall.ECONNABORTED,
		syscall.ECONNRESET, syscall.EPROTO, syscall.EPERM, syscall.ENETDOWN, syscall.ENETUNREACH, syscall.EHOSTDOWN, syscall.EHOSTUNREACH)
}
