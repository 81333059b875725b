package chaos

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/valyala/fasthttp"

	"github.com/hornbeamway/hornbeamway/internal/lab/load"
	"github.com/hornbeamway/hornbeamway/pkg/priority"
)

// Rates in requests per second. They are moderate: the faults, not the load, are to be seen.
const (
	viewRate      = 100
	ownKeyRate    = 30
	ticketRate    = 30
	retrievalRate = 6
)

const (
	// orderAttempts is the number of attempts of one order, all with the same key.
	orderAttempts = 6
	// readAttempts is the number of attempts of a view or a retrieval.
	readAttempts = 3
	// overlapShare of the orders are sent a second time while the first attempt may still run.
	overlapShare = 0.1
	maxOverlap   = 60 * time.Millisecond
	// repeatShare of the answered orders are sent again later.
	repeatShare = 0.1
	maxRepeat   = 8 * time.Second
	retryBase   = 150 * time.Millisecond
	retryMax    = 2 * time.Second
	// maxInFlight bounds the requests in flight in the tool; above it new ones are not sent.
	maxInFlight = 1500
	ticketsPath = "/.well-known/hornbeamway/tickets?count=16"
)

// order is a request with all its attempts.
type order struct {
	*request
	Attempts []attempt
}

// book collects what the callers saw. It is safe for concurrent use.
type book struct {
	mu     sync.Mutex
	orders []*order
	reads  []*order
}

func (b *book) add(o *order) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if o.key != "" {
		b.orders = append(b.orders, o)
	} else {
		b.reads = append(b.reads, o)
	}
}

// load sends requests of all kinds until ctx ends, and waits for their ends.
func (r *run) load(ctx context.Context) {
	var group sync.WaitGroup
	slots := make(chan struct{}, maxInFlight)
	for i, kind := range []struct {
		rate float64
		call func(context.Context, *rand.Rand, string)
	}{
		{viewRate, r.view}, {retrievalRate, r.retrieval}, {ownKeyRate, r.ownKeyOrder}, {ticketRate, r.ticketOrder},
	} {
		random := r.random(uint64(100 + i))
		group.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				pause(ctx, time.Duration(random.ExpFloat64()/kind.rate*float64(time.Second)))
				own := rand.New(rand.NewPCG(random.Uint64(), random.Uint64()))
				nonce := fmt.Sprintf("n%d-%d", i, n)
				select {
				case slots <- struct{}{}:
					group.Go(func() {
						defer func() { <-slots }()
						kind.call(ctx, own, nonce)
					})
				default:
				}
			}
		})
	}
	group.Wait()
}

func (r *run) view(ctx context.Context, random *rand.Rand, nonce string) {
	path := "/catalogue/"
	if random.Float64() < 0.2 {
		path = "/orders/"
	}
	r.read(ctx, random, &request{
		class: priority.Interactive, method: fasthttp.MethodGet, path: path + nonce + "?colour=" + nonce, nonce: nonce,
		deadline: time.Second, timeout: 2 * time.Second,
	})
}

func (r *run) retrieval(ctx context.Context, random *rand.Rand, nonce string) {
	size := 1 + random.Int64N(1<<20)
	r.read(ctx, random, &request{
		class: priority.Bulk, method: fasthttp.MethodGet, path: fmt.Sprintf("/library/%s/bytes/%d", nonce, size), nonce: nonce,
		size: size, timeout: 20 * time.Second,
	})
}

// read sends a request that may be repeated freely.
func (r *run) read(ctx context.Context, random *rand.Rand, m *request) {
	o := &order{request: m}
	defer r.book.add(o)
	r.attempts(ctx, random, o, readAttempts)
}

// attempts sends the request until it is answered or its attempts are used up, in turn in both regions.
func (r *run) attempts(ctx context.Context, random *rand.Rand, o *order, limit int) {
	wait, outside := retryBase, ""
	for range limit {
		a := r.front.try(random, o.request, len(o.Attempts), outside)
		o.Attempts = append(o.Attempts, a)
		if a.Outcome == load.Answered || a.Outcome == load.Wrong || o.key != "" && a.Outcome == load.Failed || ctx.Err() != nil {
			return
		}
		outside = a.region
		pause(ctx, time.Duration((0.5+random.Float64())*float64(wait)))
		wait = min(2*wait, retryMax)
	}
}

func (r *run) ownKeyOrder(ctx context.Context, random *rand.Rand, nonce string) {
	key, err := uuid.NewRandomFromReader(randomReader{random})
	if err == nil {
		r.order(ctx, random, &request{key: key.String(), path: "/orders/", nonce: nonce})
	}
}

func (r *run) ticketOrder(ctx context.Context, random *rand.Rand, nonce string) {
	if key := r.ticket(random); key != "" {
		r.order(ctx, random, &request{key: key, ticket: true, path: "/payments/", nonce: nonce})
	}
}

// ticket asks one entry VM for tickets and uses one of them; the rest lapse.
func (r *run) ticket(random *rand.Rand) string {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	d := r.front.pick(random, "", nil)
	if d == nil {
		return ""
	}
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + d.vm.Entry.Address + ticketsPath)
	req.SetTimeout(checkTimeout)
	if d.client.Do(req, resp) != nil {
		return ""
	}
	defer func() { _ = resp.CloseBodyStream() }()
	var answer struct {
		Tickets []string `json:"tickets"`
	}
	body, err := readAll(resp)
	if err != nil || json.Unmarshal(body, &answer) != nil || len(answer.Tickets) == 0 {
		return ""
	}
	return answer.Tickets[random.IntN(len(answer.Tickets))]
}

// order sends an operation: the first attempt, for some orders a second one that overlaps it, retries after any failure
// and for some a repeat after the answer, all with the same key.
func (r *run) order(ctx context.Context, random *rand.Rand, m *request) {
	m.class, m.method, m.deadline, m.timeout = priority.Transactional, fasthttp.MethodPost, 3*time.Second, 4*time.Second
	m.path += m.nonce
	m.body = make([]byte, 50+random.IntN(400))
	_, _ = randomReader{random}.Read(m.body)
	o := &order{request: m}
	defer r.book.add(o)
	var overlap sync.WaitGroup
	var second *attempt
	if random.Float64() < overlapShare {
		own := rand.New(rand.NewPCG(random.Uint64(), random.Uint64()))
		overlap.Go(func() {
			pause(ctx, time.Duration(own.Int64N(int64(maxOverlap))))
			a := r.front.try(own, m, 1000, "")
			second = &a
		})
	}
	r.attempts(ctx, random, o, orderAttempts)
	if random.Float64() < repeatShare {
		pause(ctx, time.Duration(random.Int64N(int64(maxRepeat))))
		o.Attempts = append(o.Attempts, r.front.try(random, m, len(o.Attempts), o.Attempts[len(o.Attempts)-1].region))
	}
	overlap.Wait()
	if second != nil {
		o.Attempts = append(o.Attempts, *second)
	}
}

// randomReader reads seeded random bytes.
type randomReader struct{ *rand.Rand }

// Read implements io.Reader.
func (r randomReader) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = byte(r.Uint32())
	}
	return len(p), nil
}
