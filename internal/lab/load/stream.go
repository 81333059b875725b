// Package load is an open-loop load generator: arrivals do not wait for responses, and latency is measured from the intended
// send time of a request. Every response is checked against its request.
package load

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hornbeamway/hornbeamway/pkg/priority"
)

// ErrOptions reports invalid options of a load.
var ErrOptions = errors.New("invalid load options")

// Keys selects the idempotency keys of the requests of a stream.
type Keys string

// Kinds of idempotency keys: none, the request id, or a ticket issued by an entry VM.
const (
	NoKeys        Keys = ""
	GeneratedKeys Keys = "own"
	Tickets       Keys = "tickets"
)

// Stream is a sequence of requests of one kind.
type Stream struct {
	// Name identifies the stream in reports.
	Name  string
	Class priority.Class
	// Rate is the offered rate in requests per second.
	Rate float64
	// Fixed selects arrivals at equal intervals instead of a Poisson process.
	Fixed  bool
	Method string
	// Path is the path of the requests, to which the number of the request is appended. Nothing is appended to a path that
	// ends in /bytes/{n}; the body of its response is compared with the pattern of the stand-in.
	Path string
	// BodyBytes is the size of the request body.
	BodyBytes int
	// Deadline is sent in the header X-Deadline-Ms. Zero: none.
	Deadline time.Duration
	// Timeout is the time for which the caller waits for a response. Default: the deadline plus one second, or 15s without a
	// deadline.
	Timeout time.Duration
	// Keys selects the idempotency keys. The requests of a stream with keys are operations.
	Keys Keys
	// Retries is the maximum number of further attempts of an operation, with the same key. Requests without a key are not
	// retried.
	Retries int
	// Repeat is the share of answered operations that are sent once more with the same key and must yield the same response.
	Repeat float64
}

func (s *Stream) hasPatternBody() bool { return strings.Contains(s.Path, "/bytes/") }

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
		return errors.Wrapf(ErrOptions, "stream %q: name and method are required, and the path must begin with a slash", s.Name)
	case s.Rate < 0 || s.Repeat < 0 || s.Repeat > 1 || s.Retries < 0:
		return errors.Wrapf(ErrOptions, "stream %q: rate and retries must not be negative, repeat must be in [0, 1]", s.Name)
	case s.Keys != NoKeys && s.Keys != GeneratedKeys && s.Keys != Tickets:
		return errors.Wrapf(ErrOptions, "stream %q: unknown kind of idempotency keys %q", s.Name, s.Keys)
	}
	return nil
}

// Rates holds the offered rates of the classes in requests per second.
type Rates struct {
	Interactive, Transactional, Bulk float64
}

// defaultRetries is the number of further attempts of operations in the streams of a deployment.
const defaultRetries = 3

// Streams returns streams of all three classes for a deployment: balisage (also named small) or imbuto. The last two streams
// of a deployment are operations with tickets and with generated keys.
func Streams(deployment string, r Rates) ([]Stream, error) {
	readStream := func(name, path string, rate float64) Stream {
		return Stream{Name: name, Class: priority.Interactive, Method: http.MethodGet, Path: path, Rate: rate,
			Deadline: 2 * time.Second}
	}
	operationStream := func(name, path string, keys Keys) Stream {
		return Stream{Name: name, Class: priority.Transactional, Method: http.MethodPost, Path: path, Rate: r.Transactional / 2,
			BodyBytes: 200, Deadline: 5 * time.Second, Keys: keys, Retries: defaultRetries, Repeat: 0.02}
	}
	downloadStream := func(name, path string) Stream {
		return Stream{Name: name, Class: priority.Bulk, Method: http.MethodGet, Path: path + "/bytes/65536", Rate: r.Bulk,
			Timeout: 30 * time.Second}
	}
	switch deployment {
	case "balisage", "small":
		return []Stream{
			readStream("lookups", "/catalogue/", 0.9*r.Interactive), readStream("order-status", "/orders/", 0.1*r.Interactive),
			downloadStream("manuals", "/library"),
			operationStream("payments", "/payments/", Tickets), operationStream("orders", "/orders/", GeneratedKeys),
		}, nil
	case "imbuto":
		return []Stream{
			readStream("rota-views", "/rota/", 0.9*r.Interactive), readStream("slot-views", "/slots/", 0.1*r.Interactive),
			downloadStream("ledgers", "/ledgers"),
			operationStream("claims", "/slots/", Tickets), operationStream("entries", "/ledgers/entries/", GeneratedKeys),
		}, nil
	}
	return nil, errors.Wrap(ErrOptions, fmt.Sprintf("unknown deployment %q", deployment))
}
