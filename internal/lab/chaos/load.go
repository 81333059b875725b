package chaos

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/valyala/fasthttp"

	"github.com/hornbeamway/hornbeamway/internal/lab/load"
	"github.com/hornbeamway/hornbeamway/internal/lab/pause"
	"github.com/hornbeamway/hornbeamway/pkg/priority"
)

// Rates in requests per second. They are moderate, so that the results show the effects of the faults, not those of the load.
const (
	viewRate      = 100
	ownKeyRate    = 30
	ticketRate    = 30
	retrievalRate = 6
)

const (
	// operationAttempts is the number of attempts of one operation, all with the same idempotency key.
	operationAttempts = 6
	// readAttempts is the number of attempts of a view or a retrieval, which are idempotent.
	readAttempts = 3
	// overlapShare is the share of operations that are sent a second time while the first attempt may still run.
	overlapShare    = 0.1
	maxOverlapDelay = 60 * time.Millisecond
	// repeatShare is the share of operations that are sent once more after up to maxRepeatDelay.
	repeatShare    = 0.1
	maxRepeatDelay = 8 * time.Second
	minRetryDelay  = 150 * time.Millisecond
	maxRetryDelay  = 2 * time.Second
	// maxInFlight limits the requests in flight; requests above it are not sent.
	maxInFlight = 1500
	// ticketBatch is the number of tickets in one request to an entry VM.
	ticketBatch = 16
)

// requestRecord is a request with all its attempts.
type requestRecord struct {
	*request
	Attempts []attempt
}

// requestLog collects the requests of the callers with their attempts. It is safe for concurrent use.
type requestLog struct {
	mu         sync.Mutex
	operations []*requestRecord
	reads      []*requestRecord
}

func (l *requestLog) add(rec *requestRecord) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if rec.key != "" {
		l.operations = append(l.operations, rec)
	} else {
		l.reads = append(l.reads, rec)
	}
}

// generateLoad sends requests of all kinds until ctx ends, and waits until all of them have ended.
func (h *harness) generateLoad(ctx context.Context) {
	var group sync.WaitGroup
	slots := make(chan struct{}, maxInFlight)
	for i, kind := range []struct {
		rate float64
		send func(context.Context, *rand.Rand, string)
	}{
		{viewRate, h.sendView}, {retrievalRate, h.sendRetrieval}, {ownKeyRate, h.sendOwnKeyOperation},
		{ticketRate, h.sendTicketOperation},
	} {
		random := h.newRandom(uint64(100 + i))
		group.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				pause.Sleep(ctx, time.Duration(random.ExpFloat64()/kind.rate*float64(time.Second)))
				requestRandom := rand.New(rand.NewPCG(random.Uint64(), random.Uint64()))
				nonce := fmt.Sprintf("n%d-%d", i, n)
				select {
				case slots <- struct{}{}:
					group.Go(func() {
						defer func() { <-slots }()
						kind.send(ctx, requestRandom, nonce)
					})
				default:
				}
			}
		})
	}
	group.Wait()
}

func (h *harness) sendView(ctx context.Context, random *rand.Rand, nonce string) {
	path := "/catalogue/"
	if random.Float64() < 0.2 {
		path = "/orders/"
	}
	h.sendRead(ctx, random, &request{
		class: priority.Interactive, method: fasthttp.MethodGet, path: path + nonce + "?colour=" + nonce, nonce: nonce,
		deadline: time.Second, timeout: 2 * time.Second,
	})
}

func (h *harness) sendRetrieval(ctx context.Context, random *rand.Rand, nonce string) {
	size := 1 + random.Int64N(1<<20)
	h.sendRead(ctx, random, &request{
		class: priority.Bulk, method: fasthttp.MethodGet, path: fmt.Sprintf("/library/%s/bytes/%d", nonce, size), nonce: nonce,
		size: size, timeout: 20 * time.Second,
	})
}

// sendRead sends an idempotent request and records it.
func (h *harness) sendRead(ctx context.Context, random *rand.Rand, req *request) {
	rec := &requestRecord{request: req}
	defer h.records.add(rec)
	h.sendUntilAnswered(ctx, random, rec, readAttempts)
}

// sendUntilAnswered sends the request until it is answered or limit attempts were made. Consecutive attempts prefer different
// regions.
func (h *harness) sendUntilAnswered(ctx context.Context, random *rand.Rand, rec *requestRecord, limit int) {
	delay, avoidRegion := minRetryDelay, ""
	for range limit {
		a := h.balancer.sendAttempt(random, rec.request, len(rec.Attempts), avoidRegion)
		rec.Attempts = append(rec.Attempts, a)
		if a.Outcome == load.Answered || a.Outcome == load.Wrong || rec.key != "" && a.Outcome == load.Failed || ctx.Err() != nil {
			return
		}
		avoidRegion = a.region
		pause.Sleep(ctx, time.Duration((0.5+random.Float64())*float64(delay)))
		delay = min(2*delay, maxRetryDelay)
	}
}

func (h *harness) sendOwnKeyOperation(ctx context.Context, random *rand.Rand, nonce string) {
	key, err := uuid.NewRandomFromReader(randomReader{random})
	if err == nil {
		h.sendOperation(ctx, random, &request{key: key.String(), path: "/orders/", nonce: nonce})
	}
}

func (h *harness) sendTicketOperation(ctx context.Context, random *rand.Rand, nonce string) {
	if key := h.fetchTicket(random); key != "" {
		h.sendOperation(ctx, random, &request{key: key, ticket: true, path: "/payments/", nonce: nonce})
	}
}

// fetchTicket requests tickets from one entry VM and returns one of them, or an empty string on failure. The others are left to
// expire.
func (h *harness) fetchTicket(random *rand.Rand) string {
	e := h.balancer.pickEndpoint(random, "", nil)
	if e == nil {
		return ""
	}
	tickets := e.client.Tickets(ticketBatch, checkTimeout)
	if len(tickets) == 0 {
		return ""
	}
	return tickets[random.IntN(len(tickets))]
}

// sendOperation sends an operation: the first attempt, for overlapShare of the operations a second attempt that overlaps it,
// retries after any failure and for repeatShare of them one more attempt at the end, all with the same idempotency key.
func (h *harness) sendOperation(ctx context.Context, random *rand.Rand, req *request) {
	req.class, req.method, req.deadline, req.timeout = priority.Transactional, fasthttp.MethodPost, 3*time.Second, 4*time.Second
	req.path += req.nonce
	req.body = make([]byte, 50+random.IntN(400))
	_, _ = randomReader{random}.Read(req.body)
	rec := &requestRecord{request: req}
	defer h.records.add(rec)
	var overlap sync.WaitGroup
	var overlapping *attempt
	if random.Float64() < overlapShare {
		overlapRandom := rand.New(rand.NewPCG(random.Uint64(), random.Uint64()))
		overlap.Go(func() {
			pause.Sleep(ctx, time.Duration(overlapRandom.Int64N(int64(maxOverlapDelay))))
			a := h.balancer.sendAttempt(overlapRandom, req, 1000, "")
			overlapping = &a
		})
	}
	h.sendUntilAnswered(ctx, random, rec, operationAttempts)
	if random.Float64() < repeatShare {
		pause.Sleep(ctx, time.Duration(random.Int64N(int64(maxRepeatDelay))))
		rec.Attempts = append(rec.Attempts, h.balancer.sendAttempt(random, req, len(rec.Attempts),
			rec.Attempts[len(rec.Attempts)-1].region))
	}
	overlap.Wait()
	if overlapping != nil {
		rec.Attempts = append(rec.Attempts, *overlapping)
	}
}

// randomReader provides seeded random bytes.
type randomReader struct{ *rand.Rand }

// Read implements io.Reader.
func (r randomReader) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = byte(r.Uint32())
	}
	return len(p), nil
}
