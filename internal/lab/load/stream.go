// Package load is an open-loop load generator: arrivals do not wait for answers, and latency counts from the time at which
// a request was meant to be sent. Every answer is checked against its request.
package load

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hornbeamway/hornbeamway/pkg/priority"
)

// ErrOptions reports options that cannot be used.
var ErrOptions = errors.New("invalid load")

// Keys says which Idempotency-Key a stream's requests carry.
type Keys string

// The kinds of keys.
const (
	NoKeys  Keys = ""
	OwnKeys Keys = "own"
	Tickets Keys = "tickets"
)

// Stream is a sequence of requests of one kind.
type Stream struct {
	// Name is the name of the stream in reports.
	Name  string
	Class priority.Class
	// Rate is the offered rate in requests per second.
	Rate float64
	// Fixed gives arrivals at equal distances; otherwise they are a Poisson process.
	Fixed  bool
	Method string
	// Path is the path up to the number of the request, which is appended. For a path that ends in /bytes/{n} nothing is
	// appended and the content of the answer is checked.
	Path string
	// BodyBytes is the size of the request body.
	BodyBytes int
	// Deadline is sent as X-Deadline-Ms. Zero: none.
	Deadline time.Duration
	// Timeout is the time that the caller waits for an answer. Default: the deadline and one second, or 15s.
	Timeout time.Duration
	// Keys selects the Idempotency-Key. A stream with keys is a stream of orders.
	Keys Keys
	// Retries is the number of further attempts of an order, with the same key. Requests without keys are not retried.
	Retries int
	// Repeat is the share of answered orders that are sent once more with the same key, which must give the same answer.
	Repeat float64
}

func (s *Stream) bytes() bool { return strings.Contains(s.Path, "/bytes/") }

func (s *Stream) timeout() time.Duration {
	switch {
	case s.Timeout > 0:
		return s.Timeout
	case s.Deadline > 0:
		return s.Deadline + time.Second
	}
	return 15 * time.Second
}

func (s *Stream) validate() error {
	switch {
	case s.Name == "" || s.Method == "" || !strings.HasPrefix(s.Path, "/"):
		return errors.Wrapf(ErrOptions, "stream %q needs a name, a method and a path", s.Name)
	case s.Rate < 0 || s.Repeat < 0 || s.Repeat > 1 || s.Retries < 0:
		return errors.Wrapf(ErrOptions, "stream %q: rate and retries must not be negative, repeat is a share", s.Name)
	case s.Keys != NoKeys && s.Keys != OwnKeys && s.Keys != Tickets:
		return errors.Wrapf(ErrOptions, "stream %q: unknown kind of keys %q", s.Name, s.Keys)
	}
	return nil
}

// Rates are offered rates in requests per second.
type Rates struct {
	Interactive, Transactional, Bulk float64
}

// defaultRetries is the number of further attempts of the deployments' orders.
const defaultRetries = 3

// Streams returns traffic of all three classes for a deployment: balisage (also by the name small) or imbuto. The last
// two streams of a deployment are orders with tickets and with own keys.
func Streams(deployment string, r Rates) ([]Stream, error) {
	views := func(name, path string, rate float64) Stream {
		return Stream{Name: name, Class: priority.Interactive, Method: http.MethodGet, Path: path, Rate: rate, Deadline: 2 * time.Second}
	}
	orders := func(name, path string, keys Keys) Stream {
		return Stream{Name: name, Class: priority.Transactional, Method: http.MethodPost, Path: path, Rate: r.Transactional / 2,
			BodyBytes: 200, Deadline: 5 * time.Second, Keys: keys, Retries: defaultRetries, Repeat: 0.02}
	}
	archives := func(name, path string) Stream {
		return Stream{Name: name, Class: priority.Bulk, Method: http.MethodGet, Path: path + "/bytes/65536", Rate: r.Bulk, Timeout: 30 * time.Second}
	}
	switch deployment {
	case "balisage", "small":
		return []Stream{
			views("lookups", "/catalogue/", 0.9*r.Interactive), views("order-status", "/orders/", 0.1*r.Interactive),
			archives("manuals", "/library"), orders("payments", "/payments/", Tickets), orders("orders", "/orders/", OwnKeys),
		}, nil
	case "imbuto":
		return []Stream{
			views("rota-views", "/rota/", 0.9*r.Interactive), views("slot-views", "/slots/", 0.1*r.Interactive),
			archives("ledgers", "/ledgers"), orders("claims", "/slots/", Tickets), orders("entries", "/ledgers/entries/", OwnKeys),
		}, nil
	}
	return nil, errors.Wrap(ErrOptions, fmt.Sprintf("unknown deployment %q", deployment))
}
