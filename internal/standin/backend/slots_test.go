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

// Guards against a slot that leaks or is given twice, and against a queue out of order or beyond its bound.
func TestSlotsProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit, queueLimit := rapid.IntRange(1, 4).Draw(t, "limit"), rapid.IntRange(0, 4).Draw(t, "queue")
		now := time.Unix(1000, 0)
		s := &slots{limit: limit, queueLimit: queueLimit, settledAt: now}
		running := 0
		var waiting []chan struct{}
		handOver := func() {
			if len(waiting) == 0 {
				running--
				return
			}
			<-waiting[0]
			waiting = waiting[1:]
		}
		t.Repeat(map[string]func(*rapid.T){
			"enter": func(t *rapid.T) {
				turn, v := s.enter(now)
				switch {
				case running < limit:
					if turn != nil || v != granted {
						t.Fatal("a free slot was not given")
					}
					running++
				case len(waiting) < queueLimit:
					if turn == nil {
						t.Fatal("no place in a queue that is not full")
					}
					waiting = append(waiting, turn)
				case turn != nil || v != queueFull:
					t.Fatal("queue beyond its bound")
				}
			},
			"release": func(t *rapid.T) {
				if running == 0 {
					t.Skip("nothing runs")
				}
				s.release(now)
				handOver()
			},
			"abandon": func(t *rapid.T) {
				if len(waiting) == 0 {
					t.Skip("nothing waits")
				}
				i := rapid.IntRange(0, len(waiting)-1).Draw(t, "place")
				s.abandon(now, waiting[i])
				waiting = append(waiting[:i:i], waiting[i+1:]...)
			},
			"abandon after the hand-over": func(t *rapid.T) {
				if len(waiting) == 0 {
					t.Skip("nothing waits")
				}
				turn := waiting[0]
				s.release(now)
				handOver()
				s.abandon(now, turn)
				handOver()
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

// Guards against probes and connections that cost nothing, or that cost more than idle slots can absorb.
var _ = It("charges connections and probes to slot time", func() {
	now := time.Unix(1000, 0)
	s := &slots{limit: 2, settledAt: now}
	s.charge(now, probeCost)
	Expect(s.takeDebt(now)).To(Equal(probeCost))
	Expect(s.takeDebt(now)).To(BeZero())
	_, v := s.enter(now)
	Expect(v).To(Equal(granted))
	s.charge(now, probeCost)
	Expect(s.takeDebt(now.Add(2 * time.Millisecond))).To(Equal(3 * time.Millisecond))
})

// Guards against a cut at the wrong byte, however the answer is divided into writes.
func TestCutProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		head := "HTTP/1.1 200 OK\r\nA: b\r\n\r\n"
		body := rapid.SliceOfN(rapid.Byte(), 1, 40).Draw(t, "body")
		n := rapid.IntRange(0, len(body)-1).Draw(t, "cut")
		client, server := net.Pipe()
		c := &conn{Conn: server, server: &Server{}}
		c.cutAfter(int64(n))
		received := make(chan []byte)
		go func() {
			all, _ := io.ReadAll(client)
			received <- all
		}()
		for rest := append([]byte(head), body...); len(rest) > 0; {
			size := rapid.IntRange(1, len(rest)).Draw(t, "write")
			if _, err := c.Write(rest[:size]); err != nil {
				break
			}
			rest = rest[size:]
		}
		if got, want := <-received, append([]byte(head), body[:n]...); !bytes.Equal(got, want) {
			t.Fatalf("received %q, want %q", got, want)
		}
	})
}
