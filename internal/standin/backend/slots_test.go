package backend

import (
	"bytes"
	"io"
	"net"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func TestBackend(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "backend")
}

// Guards against slots that leak or are granted twice, and against a queue that is not FIFO or exceeds its limit.
func TestSlotsProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit, queueLimit := rapid.IntRange(1, 4).Draw(t, "limit"), rapid.IntRange(0, 4).Draw(t, "queue")
		now := time.Unix(1000, 0)
		s := &slots{limit: limit, queueLimit: queueLimit, debtUpdatedAt: now}
		running := 0
		var waiting []chan struct{}
		slotFreed := func() {
			if len(waiting) == 0 {
				running--
				return
			}
			<-waiting[0]
			waiting = waiting[1:]
		}
		t.Repeat(map[string]func(*rapid.T){
			"enter": func(t *rapid.T) {
				waiter, result := s.acquireOrEnqueue(now)
				switch {
				case running < limit:
					if waiter != nil || result != granted {
						t.Fatal("a free slot was not granted")
					}
					running++
				case len(waiting) < queueLimit:
					if waiter == nil {
						t.Fatal("the request was not queued although the queue was not full")
					}
					waiting = append(waiting, waiter)
				case waiter != nil || result != queueFull:
					t.Fatal("the queue exceeds its limit")
				}
			},
			"release": func(t *rapid.T) {
				if running == 0 {
					t.Skip("no request is running")
				}
				s.release(now)
				slotFreed()
			},
			"abandon": func(t *rapid.T) {
				if len(waiting) == 0 {
					t.Skip("no request is waiting")
				}
				i := rapid.IntRange(0, len(waiting)-1).Draw(t, "place")
				s.cancelWait(now, waiting[i])
				waiting = append(waiting[:i:i], waiting[i+1:]...)
			},
			"abandon after the hand-over": func(t *rapid.T) {
				if len(waiting) == 0 {
					t.Skip("no request is waiting")
				}
				waiter := waiting[0]
				s.release(now)
				slotFreed()
				s.cancelWait(now, waiter)
				slotFreed()
			},
			"": func(t *rapid.T) {
				now = now.Add(time.Second)
				if s.busy != running || len(s.queue) != len(waiting) {
					t.Fatalf("busy %d, queued %d; want %d, %d", s.busy, len(s.queue), running, len(waiting))
				}
				if busy, queued := s.loadAt(now); busy != running || queued != len(waiting) {
					t.Fatalf("history shows busy %d, queued %d", busy, queued)
				}
			},
		})
	})
}

// Guards against probes and connections that use no slot time, and against slot time that idle slots do not absorb.
var _ = It("charges slot time for connections and probes", func() {
	now := time.Unix(1000, 0)
	s := &slots{limit: 2, debtUpdatedAt: now}
	s.charge(now, probeCost)
	Expect(s.takeDebt(now)).To(Equal(probeCost))
	Expect(s.takeDebt(now)).To(BeZero())
	_, result := s.acquireOrEnqueue(now)
	Expect(result).To(Equal(granted))
	s.charge(now, probeCost)
	Expect(s.takeDebt(now.Add(2 * time.Millisecond))).To(Equal(3 * time.Millisecond))
})

// Guards against a body that is truncated at the wrong byte, for any division of the response into writes.
func TestBodyTruncationProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		head := "HTTP/1.1 200 OK\r\nA: b\r\n\r\n"
		body := rapid.SliceOfN(rapid.Byte(), 1, 40).Draw(t, "body")
		n := rapid.IntRange(0, len(body)-1).Draw(t, "cut")
		client, server := net.Pipe()
		c := &conn{Conn: server, server: &Server{}}
		c.truncateBodyAfter(int64(n))
		received := make(chan []byte)
		go func() {
			data, _ := io.ReadAll(client)
			received <- data
		}()
		for remaining := append([]byte(head), body...); len(remaining) > 0; {
			size := rapid.IntRange(1, len(remaining)).Draw(t, "write")
			if _, err := c.Write(remaining[:size]); err != nil {
				break
			}
			remaining = remaining[size:]
		}
		if got, want := <-received, append([]byte(head), body[:n]...); !bytes.Equal(got, want) {
			t.Fatalf("received %q, want %q", got, want)
		}
	})
}
