// Package peer implements the transport of control messages between entry VMs: JSON-RPC 2.0 over TCP in frames with a
// length prefix. The first message of a connection must be peer.hello with the shared secret; the server rejects any other.
package peer

import (
	"cmp"
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
)

// Errors of a call or notification.
var (
	// ErrUnreachable reports that no usable connection exists. The message was not sent.
	ErrUnreachable = errors.New("peer unreachable")
	// ErrUnauthorized reports that the peer refused the shared secret. The message was not sent.
	ErrUnauthorized = errors.New("peer refused the shared secret")
	// ErrBusy reports that too many calls are in progress on the connection or at the peer. The call was not run.
	ErrBusy = errors.New("too many concurrent calls to peer")
	// ErrTimeout reports that no response arrived in time. The peer may have run the call. The connection is closed.
	ErrTimeout = errors.New("peer did not respond in time")
	// ErrLost reports that the connection broke after the message may have been sent.
	ErrLost = errors.New("connection to peer lost")
	// ErrRemote reports that the peer's handler returned an error.
	ErrRemote = errors.New("peer returned an error")
	// ErrClosed reports that the pool or server is closed.
	ErrClosed = errors.New("peer pool or server is closed")
)

// Error is an error with the address of the peer. With errors.Is it matches its Kind, one of the errors above, and its
// Cause.
type Error struct {
	Kind    error
	Address string
	// Cause is the underlying error; nil if there is none.
	Cause error
}

// Error implements error.
func (e *Error) Error() string {
	if e.Cause == nil {
		return e.Kind.Error() + ": " + e.Address
	}
	return e.Kind.Error() + ": " + e.Address + ": " + e.Cause.Error()
}

// Unwrap returns the kind and the cause.
func (e *Error) Unwrap() []error {
	if e.Cause == nil {
		return []error{e.Kind}
	}
	return []error{e.Kind, e.Cause}
}

func newError(cause, kind error, address string) error {
	return &Error{Kind: kind, Address: address, Cause: cause}
}

const (
	methodHello = "peer.hello"

	// codeUnauthorized and codeBusy are application error codes of JSON-RPC.
	codeUnauthorized = -32001
	codeBusy         = -32002

	// helloFrameLimit is the maximum frame size in bytes before authentication, so that unauthenticated clients cannot make
	// this process allocate large buffers.
	helloFrameLimit = 1 << 10
)

// Options configure a server or a pool. Only ID and Secret are required.
type Options struct {
	// ID is this VM's id, sent to peers in peer.hello.
	ID string
	// Secret is the shared secret of all entry VMs.
	Secret string
	// FrameLimit is the maximum frame size in bytes. Default 4 MiB, which is enough for a configuration state.
	FrameLimit int
	// DialTimeout bounds the connection setup including peer.hello. Default 1s.
	DialTimeout time.Duration
	// CallTimeout bounds a call whose context has no earlier deadline, and each write. Default 2s.
	CallTimeout time.Duration
	// IdleTimeout is the time without traffic after which a pool closes a connection. Servers wait twice as long. Default
	// 5min, which keeps the connections between randomly chosen VMs of a region of 32 VMs open.
	IdleTimeout time.Duration
	// MinBackoff and MaxBackoff bound the wait after a failed connection attempt, before jitter. Defaults 50ms and 2s.
	MinBackoff, MaxBackoff time.Duration
	// MaxCalls is the maximum number of concurrent calls per connection. Default 64.
	MaxCalls int
	// MaxConnections is the maximum number of a server's connections. Default 1024.
	MaxConnections int
	// Metrics is the set for the metrics. Default: the default set of package metrics.
	Metrics *metrics.Set
}

func (o Options) withDefaults() Options {
	o.FrameLimit = cmp.Or(o.FrameLimit, 4<<20)
	o.DialTimeout = cmp.Or(o.DialTimeout, time.Second)
	o.CallTimeout = cmp.Or(o.CallTimeout, 2*time.Second)
	o.IdleTimeout = cmp.Or(o.IdleTimeout, 5*time.Minute)
	o.MinBackoff = cmp.Or(o.MinBackoff, 50*time.Millisecond)
	o.MaxBackoff = cmp.Or(o.MaxBackoff, 2*time.Second)
	o.MaxCalls = cmp.Or(o.MaxCalls, 64)
	o.MaxConnections = cmp.Or(o.MaxConnections, 1024)
	if o.Metrics == nil {
		o.Metrics = metrics.GetDefaultSet()
	}
	return o
}

// helloRequest is the parameter of peer.hello.
type helloRequest struct {
	ID     string `json:"id"`
	Secret string `json:"secret"`
}

// helloResponse is the result of peer.hello.
type helloResponse struct {
	ID string `json:"id"`
}

// equalSecrets compares two secrets in constant time. It compares hashes, so that the time does not depend on the lengths.
func equalSecrets(a, b string) bool {
	hashA, hashB := sha256.Sum256([]byte(a)), sha256.Sum256([]byte(b))
	return subtle.ConstantTimeCompare(hashA[:], hashB[:]) == 1
}

// callerKey is the context key of the calling VM's id.
type callerKey struct{}

// Caller returns the id that the calling VM sent in peer.hello. It is empty outside a handler.
func Caller(ctx context.Context) string {
	id, _ := ctx.Value(callerKey{}).(string)
	return id
}
