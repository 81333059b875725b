package chaos

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

// fault is one entry of the schedule.
type fault struct {
	// At is the time since the first fault could begin.
	At time.Duration
	// Name is the kind of the fault.
	Name string
	// For is how long it lasts, where it lasts.
	For time.Duration
	// Target chooses among the VMs or servers that exist at that time.
	Target uint64
}

// String implements fmt.Stringer.
func (f fault) String() string {
	return fmt.Sprintf("%v %s for %v (target %d)", f.At.Round(time.Millisecond), f.Name, f.For.Round(time.Millisecond), f.Target)
}

// kind is a kind of fault with its weight in the schedule and the range of its duration.
type kind struct {
	name      string
	weight    int
	low, high time.Duration
}

// kinds are all faults. Those of entry VMs weigh most.
var kinds = []kind{
	{"vm.kill", 6, 200 * time.Millisecond, 6 * time.Second},
	{"vm.pause", 6, time.Second, 15 * time.Second},
	{"vm.replace", 5, 0, 0},
	{"vm.killreplace", 3, 0, 0},
	{"log.down", 3, 2 * time.Second, 16 * time.Second},
	{"log.unreachable", 2, 2 * time.Second, 14 * time.Second},
	{"log.slow", 2, 3 * time.Second, 12 * time.Second},
	{"log.lost", 3, 3 * time.Second, 10 * time.Second},
	{"log.expire", 2, 0, 0},
	{"list.lag", 1, 5 * time.Second, 12 * time.Second},
	{"list.frozen", 2, 4 * time.Second, 12 * time.Second},
	{"list.down", 1, 4 * time.Second, 12 * time.Second},
	{"list.hidden", 1, 3 * time.Second, 8 * time.Second},
	{"server.slow", 2, 3 * time.Second, 10 * time.Second},
	{"server.drain", 2, 3 * time.Second, 8 * time.Second},
	{"server.fail", 2, 2 * time.Second, 8 * time.Second},
	{"server.refuse", 2, 2 * time.Second, 8 * time.Second},
	{"server.stall", 2, 2 * time.Second, 8 * time.Second},
	{"server.close", 2, 3 * time.Second, 10 * time.Second},
	{"server.silence", 2, 0, 0},
	{"server.drop", 3, 0, 0},
	{"server.truncate", 2, 2 * time.Second, 8 * time.Second},
	{"server.shed", 1, 2 * time.Second, 6 * time.Second},
	{"server.report", 1, 3 * time.Second, 8 * time.Second},
}

// Distance between two faults. Some come with a second one at the same time.
const (
	minGap    = 700 * time.Millisecond
	maxGap    = 3500 * time.Millisecond
	pairShare = 0.35
)

// newSchedule draws the faults of a run.
func newSchedule(seed uint64, d time.Duration, only []string) []fault {
	random := rand.New(rand.NewPCG(seed, 0))
	var allowed []kind
	for _, k := range kinds {
		if matches(k.name, only) {
			allowed = append(allowed, k)
		}
	}
	var faults []fault
	if len(allowed) == 0 {
		return faults
	}
	for at := time.Duration(0); at < d; at += minGap + time.Duration(random.Int64N(int64(maxGap-minGap))) {
		faults = append(faults, draw(random, at, allowed))
		if random.Float64() < pairShare {
			faults = append(faults, draw(random, at+time.Duration(random.Int64N(int64(minGap))), allowed))
		}
	}
	return faults
}

func matches(name string, only []string) bool {
	for _, prefix := range only {
		if strings.HasPrefix(name, prefix) {
			return true
		}
	}
	return len(only) == 0
}

func draw(random *rand.Rand, at time.Duration, allowed []kind) fault {
	total := 0
	for _, k := range allowed {
		total += k.weight
	}
	n := random.IntN(total)
	var chosen kind
	for _, k := range allowed {
		if n -= k.weight; n < 0 {
			chosen = k
			break
		}
	}
	f := fault{At: at, Name: chosen.name, For: chosen.low, Target: random.Uint64() % 1000}
	if chosen.high > chosen.low {
		f.For += time.Duration(random.Int64N(int64(chosen.high - chosen.low)))
	}
	return f
}
