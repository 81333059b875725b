package chaos

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

// fault is one entry of the schedule.
type fault struct {
	// At is the time of the fault, counted from the start of the schedule.
	At time.Duration
	// Name is the kind of the fault.
	Name string
	// Duration is the duration of the fault; 0 for faults without one.
	Duration time.Duration
	// Target selects one of the VMs or servers that exist at that time.
	Target uint64
}

// String implements fmt.Stringer.
func (f fault) String() string {
	return fmt.Sprintf("%v %s for %v (target %d)", f.At.Round(time.Millisecond), f.Name, f.Duration.Round(time.Millisecond),
		f.Target)
}

// faultKind is a kind of fault with its weight in the schedule and the range of its duration.
type faultKind struct {
	name                     string
	weight                   int
	minDuration, maxDuration time.Duration
}

// faultKinds lists all kinds of faults. Those of entry VMs have the highest weights.
var faultKinds = []faultKind{
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

// Range of the time between two consecutive faults. overlapFaultShare is the share of them that a second fault accompanies,
// which starts within minGap.
const (
	minGap            = 700 * time.Millisecond
	maxGap            = 3500 * time.Millisecond
	overlapFaultShare = 0.35
)

// newSchedule draws the schedule of faults of a run from its seed.
func newSchedule(seed uint64, d time.Duration, only []string) []fault {
	random := rand.New(rand.NewPCG(seed, 0))
	var allowed []faultKind
	for _, k := range faultKinds {
		if hasAnyPrefix(k.name, only) {
			allowed = append(allowed, k)
		}
	}
	var faults []fault
	if len(allowed) == 0 {
		return faults
	}
	for at := time.Duration(0); at < d; at += minGap + time.Duration(random.Int64N(int64(maxGap-minGap))) {
		faults = append(faults, drawFault(random, at, allowed))
		if random.Float64() < overlapFaultShare {
			faults = append(faults, drawFault(random, at+time.Duration(random.Int64N(int64(minGap))), allowed))
		}
	}
	return faults
}

func hasAnyPrefix(name string, prefixes []string) bool {
	for _, prefix := range prefixes {
		if strings.HasPrefix(name, prefix) {
			return true
		}
	}
	return len(prefixes) == 0
}

func drawFault(random *rand.Rand, at time.Duration, allowed []faultKind) fault {
	total := 0
	for _, k := range allowed {
		total += k.weight
	}
	n := random.IntN(total)
	var chosen faultKind
	for _, k := range allowed {
		if n -= k.weight; n < 0 {
			chosen = k
			break
		}
	}
	f := fault{At: at, Name: chosen.name, Duration: chosen.minDuration, Target: random.Uint64() % 1000}
	if chosen.maxDuration > chosen.minDuration {
		f.Duration += time.Duration(random.Int64N(int64(chosen.maxDuration - chosen.minDuration)))
	}
	return f
}
