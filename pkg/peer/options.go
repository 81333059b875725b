// Package peer carries control messages between entry VMs: JSON-RPC 2.0 over TCP in frames with a length prefix. The
// first message of a connection is peer.hello with the shared secret; nothing else is accepted before it.
package peer

import (
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
	// ErrTimeout reports that no answer came in time. The peer may have run the call. The connection is closed.
	ErrTimeout = errors.New("peer did not answer in time")
	// ErrLost reports that the connection broke after the message may have been sent.
	ErrLost = errors.New("connection to peer lost")
	// ErrRemote reports that the peer's handler returned an error.
	ErrRemote = errors.New("peer returned an error")
	// ErrClosed reports that the pool or server is closed.
	ErrClosed = errors.New("peer endpoint closed")
)

// Error says which peer failed. It matches its Kind, one of the errors above, and its cause with errors.Is.
type Error struct {
	Kind    error
	Address string
	// Cause is the error from below; nil if there is none.
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

func wrap(cause, kind error, address string) error {
	return &Error{Kind: kind, Address: address, Cause: cause}
}

const (
	methodHello = "peer.hello"

	// codeUnauthorized and codeBusy are application error codes of JSON-RPC.
	codeUnauthorized = -32001
	codeBusy         = -32002

	// helloFrameLimit bounds frames in bytes before the shared secret has been checked, so that a stranger cannot make
	// this process hold large buffers.
	helloFrameLimit = 1 << 10
)

// Options configure a server or a pool. Only ID and Secret are required.
type Options struct {
	// ID is this VM's id, told to peers in peer.hello.
	ID string
	// Secret is the shared secret of all entry VMs.
	Secret string
	// FrameLimit is the largest frame in bytes. Default 4 MiB, enough for a configuration state.
	FrameLimit int
	// DialTimeout bounds connecting including peer.hello. Default 1s.
	DialTimeout time.Duration
	// CallTimeout bounds a call whose context has no earlier deadline, and each write. Default 2s.
	CallTimeout time.Duration
	// IdleTimeout closes a pool's connection without traffic. Servers wait twice as long. Default 5min, which keeps
	// the connections between random neighbours of a region of 32 VMs open.
	IdleTimeout time.Duration
	// MinBackoff and MaxBackoff bound the wait between two failed connection attempts. Defaults 50ms and 2s.
	MinBackoff, MaxBackoff time.Duration
	// Calls bounds concurrent calls per connection. Default 64.
	Calls int
	// Connections bounds a server's connections. Default 1024.
	Connections int
	// Metrics receives the metrics. Default: the package's default set.
	Metrics *metrics.Set
}

func (o Options) withDefaults() Options {
	setDefault(&o.FrameLimit, 4<<20)
	setDefault(&o.DialTimeout, time.Second)
	setDefault(&o.CallTimeout, 2*time.Second)
	setDefault(&o.IdleTimeout, 5*time.Minute)
	setDefault(&o.MinBackoff, 50*time.Millisecond)
	setDefault(&o.MaxBackoff, 2*time.Second)
	setDefault(&o.Calls, 64)
	setDefault(&o.Connections, 1024)
	if o.Metrics == nil {
		o.Metrics = metrics.GetDefaultSet()
	}
	return o
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// hello is the parameter of peer.hello.
type hello struct {
	ID     string `json:"id"`
	Secret string `json:"secret"`
}

// helloAnswer is the result of peer.hello.
type helloAnswer struct {
	ID string `json:"id"`
}

// equalSecrets compares in constant time; hashing hides the length too.
func equalSecrets(a, b string) bool {
	x, y := sha256.Sum256([]byte(a)), sha256.Sum256([]byte(b))
	return subtle.ConstantTimeCompare(x[:], y[:]) == 1
}

type callerKey struct{}

// Caller returns the id that the calling VM gave in peer.hello. It is empty outside a handler.
func Caller(ctx context.Context) string {
	id, _ := ctx.Value(callerKey{}).(string)
	return id
}
