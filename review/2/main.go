//go:build review

// Command 2 stops one entry VM with SIGTERM while clients keep using the connections that they have open to it.
package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hornbeamway/hornbeamway/review/kit"
)

const (
	vmCount      = 4
	backendCount = 6
	// keptClients hold open connections to the VM that is stopped.
	keptClients = 12
	timeLimit   = 5 * time.Second
	// heavyWork is the time of the late orders: the largest work on the sheet, on a machine that is 1.35 times slower than usual.
	heavyWork = 3100 * time.Millisecond
	// lateAfter is when they are sent, counted from SIGTERM.
	lateAfter = 6600 * time.Millisecond
	grace     = 10 * time.Second
)

// course is what happened to a late order.
type course struct {
	mu  sync.Mutex
	ran map[string]time.Time
}

func main() { os.Exit(run(os.Args[1])) }

func run(folder string) int {
	record, err := kit.NewRecord(folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return kit.ExitFailed
	}
	defer record.Close()
	code, err := play(record)
	if err != nil {
		record.Printf("could not run: %v", err)
		return kit.ExitFailed
	}
	record.Printf("exit code %d", code)
	return code
}

func play(record *kit.Record) (int, error) {
	s, err := kit.NewSystem(record, map[string]any{"seed_lag_s": 3, "reuse_after_s": 2, "stable_window_ms": 4000, "ack_ms": 6000,
		"catch_up_s": 6, "drain_ms": 4000, "grace_s": 10, "loss_slack_ms": 200, "config_apply_ms": 4000, "rollback_slack_ms": 250,
		"max_skew_ms": 6000, "retry_budget_ratio": 0.2, "budget_window_s": 10, "retry_budget_slack": 60, "recovery_s": 15,
		"probes_per_s": 60})
	if err != nil {
		return 0, err
	}
	defer s.Close()
	c := &course{ran: map[string]time.Time{}}
	s.Publish([]kit.Route{{Name: "r-1", Prefix: "/xapu221/", Kind: "unsafe", Service: "orders", TimeoutMs: 5000, TargetMs: 800,
		Priority: 1, MaxAttempts: 2}}, 3600, "orders")
	for i := range backendCount {
		b := &kit.Backend{Service: "orders", Zone: kit.ZoneNames[i%4], Slots: 3, Queue: 6, TellsLoad: true,
			Work: func(r *kit.Request) time.Duration {
				if r.Path == "/xapu221/heavy" {
					return heavyWork
				}
				return time.Duration((0.7 + 0.6*rand.Float64()) * float64(310*time.Millisecond))
			},
			Body: func(r *kit.Request) []byte { return kit.Content(r.ID, 400) },
			OnRun: func(b *kit.Backend, r *kit.Request) {
				c.mu.Lock()
				c.ran[r.ID] = time.Now()
				c.mu.Unlock()
				record.Printf("%s runs %s %s", b.ID, r.ID, r.Path)
			}}
		if err := s.AddBackend(b); err != nil {
			return 0, err
		}
	}
	if err := s.AddVMs(vmCount); err != nil {
		return 0, err
	}
	time.Sleep(5 * time.Second) // the VMs are in touch: nothing has disturbed them for stable_window_ms

	var background sync.WaitGroup
	var stopped atomic.Bool
	for i := range 6 {
		background.Add(1)
		go func() {
			defer background.Done()
			client := kit.Client{VM: s.VMs()[1+i%(vmCount-1)]}
			for !stopped.Load() {
				id := kit.NextID()
				a := client.Do(id, "POST", "/xapu221/usual", kit.Content(id, 4000), timeLimit, time.Second)
				record.Printf("client of %s: %s answered %d after %v, err %v", client.VM.Name, id, a.Status, a.Took, a.Err)
				time.Sleep(200 * time.Millisecond)
			}
			client.Close()
		}()
	}

	vm := s.VMs()[0]
	clients := make([]*kit.Client, keptClients)
	for i := range clients {
		clients[i] = &kit.Client{VM: vm}
		id := kit.NextID()
		a := clients[i].Do(id, "POST", "/xapu221/usual", kit.Content(id, 4000), timeLimit, time.Second)
		record.Printf("client %d opens a connection to %s: %s answered %d after %v, err %v", i, vm.Name, id, a.Status, a.Took, a.Err)
	}
	start := time.Now()
	if kit.Trouble() {
		vm.Terminate()
		record.Printf("SIGTERM to %s; grace_s is %v", vm.Name, grace)
		go func() {
			<-vm.Done()
			record.Printf("process of %s has ended, %v after SIGTERM", vm.Name, time.Since(start))
		}()
		time.AfterFunc(grace, vm.Kill)
	}
	var lost atomic.Int64
	var late sync.WaitGroup
	for i, client := range clients {
		late.Add(1)
		go func() {
			defer late.Done()
			time.Sleep(lateAfter + time.Duration(i)*20*time.Millisecond - time.Since(start))
			id, sent := kit.NextID(), time.Since(start)
			record.Printf("client %d sends %s on its open connection, %v after the signal", i, id, sent)
			a := client.Do(id, "POST", "/xapu221/heavy", kit.Content(id, 4000), timeLimit, time.Second)
			c.mu.Lock()
			_, ran := c.ran[id]
			c.mu.Unlock()
			verdict := "held"
			// LOST: passed on to a backend, no complete answer, and neither the time limit nor the route's timeout reached. The request was
			// sent later than 3 s after SIGTERM, so that the exception for the last sixth of grace_s does not apply.
			if a.Err != nil && !a.GaveUp && a.Took < timeLimit && ran {
				verdict = "LOST"
				lost.Add(1)
			}
			record.Printf("client %d: %s answered %d after %v, err %v, ran %t: %s", i, id, a.Status, a.Took, a.Err, ran, verdict)
		}()
	}
	late.Wait()
	stopped.Store(true)
	background.Wait()
	record.Printf("late orders: %d; lost: %d", keptClients, lost.Load())
	if lost.Load() > 0 {
		return kit.ExitBroken, nil
	}
	return kit.ExitHeld, nil
}
