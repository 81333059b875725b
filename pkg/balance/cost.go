package balance

import (
	"math"
	"time"
)

const (
	// urgentWorks is the longest objective, in usual works of a request, for which fresh figures matter: a longer one is met on
	// a slow server too. urgentMemory is how long a request counts.
	urgentWorks  = 5
	urgentMemory = 2 * time.Second
	// initialSlowness stands for servers of which nothing was heard yet.
	initialSlowness = 1.3
	// meanWeight is the weight of one figure in the mean of a service.
	meanWeight = 0.02
	// slownessLife is the time after which a figure of slowness says little, because the load of the machine that a server
	// shares with others changes that often.
	slownessLife = 150 * time.Millisecond
	// warmUpFactor is the slowness of a server that has just started.
	warmUpFactor = 2
	// crowdedShare is the share of busy slots above which servers work more slowly, and crowdedFactor by how much.
	crowdedShare  = 0.8
	crowdedFactor = 1.5
	// crossDataCentreDelay and crossRegionDelay are round trips in ms.
	crossDataCentreDelay = 2.8
	crossRegionDelay     = 62.0
	// crossDataCentreCost and crossRegionCost weigh paid bytes against latency, in ms for each kB.
	crossDataCentreCost = 2.0
	crossRegionCost     = 14.0
	// connectCost is the cost of a new connection, in objectives.
	connectCost = 0.06
	// toldLife is the age up to which a server's own count of its requests holds, and guessedBusy stands for an older one.
	toldLife    = time.Second
	guessedBusy = 2
	// failureCost is the cost of a server that always fails, in objectives.
	failureCost = 4.0
	// failureWeight is the weight of one outcome in the share of failures, and failureLife the time in which it fades.
	failureWeight = 0.25
	failureLife   = 4 * time.Second
	// fullPause keeps requests away from a server that had no room.
	fullPause = 30 * time.Millisecond
	// awayPause keeps requests away from a server that could not be reached; it doubles up to awayMax.
	awayPause = 250 * time.Millisecond
	awayMax   = 4 * time.Second
	// awayCost makes a server that did not answer the last choice, in ms.
	awayCost = 10_000.0
	// unfitCost keeps requests from a server that they would be refused for, while another one fits that fails at times: up to
	// maxFailure, or maxFailureOnce for requests that cannot be sent again. A refused one can.
	unfitCost      = 5_000.0
	maxFailure     = 0.7
	maxFailureOnce = 0.3
	// tieBreak spreads requests over servers that are equally good, in ms.
	tieBreak = 1.0
)

// cost is the expected time in ms, with what else speaks against a server.
func (b *Balancer) cost(svc *service, s *server, r Request, now time.Time) float64 {
	cost := b.expected(svc, s, r, now)
	failure, most := s.failureShare(now), maxFailure
	if r.Once {
		most = maxFailureOnce
	}
	if !s.fits(r, cost) || failure > most {
		cost += unfitCost
	}
	cost += failure * failureCost * ms(r.Objective)
	kB := r.Bytes / 1e3
	switch {
	case s.info.Region != b.self.Region:
		cost += kB * crossRegionCost
	case s.info.DataCentre != b.self.DataCentre:
		cost += kB * crossDataCentreCost
	}
	if r.Connected != nil && !r.Connected(s.info.Address) {
		cost += connectCost * ms(r.Objective)
	}
	if now.Before(s.fullUntil) {
		cost += ms(r.Objective)
	}
	if now.Before(s.awayUntil) {
		cost += awayCost
	}
	return cost
}

// fits reports whether a server whose answer is expected after some ms fits the limits of a request.
func (s *server) fits(r Request, expected float64) bool {
	return (r.Within == 0 || expected <= ms(r.Within)) && !(r.FreeSlotOnly && s.total >= s.info.Slots)
}

// expected is the time in ms until the answer of a server.
func (b *Balancer) expected(svc *service, s *server, r Request, now time.Time) float64 {
	work := ms(r.Work) * s.slowness(svc, now)
	if now.Before(s.info.WarmUntil) {
		work *= warmUpFactor
	}
	busy := s.total
	if !b.counted(s) {
		busy = max(busy, s.toldBusy(now))
	}
	slots := max(1, s.info.Slots)
	if float64(busy+1) > crowdedShare*float64(slots) {
		work *= crowdedFactor
	}
	time := work
	if ahead := busy - slots + 1; ahead > 0 {
		time += work * float64(ahead) / float64(slots)
	}
	switch {
	case s.info.Region != b.self.Region:
		time += crossRegionDelay
	case s.info.DataCentre != b.self.DataCentre:
		time += crossDataCentreDelay
	}
	return time
}

// toldBusy is the number of requests that a server has told of lately, or a guess.
func (s *server) toldBusy(now time.Time) int {
	if s.figureAt.IsZero() || now.Sub(s.figureAt) > toldLife {
		return guessedBusy
	}
	return s.figure.Running + s.figure.Waiting
}

// slowness is the factor expected now: the last figure, which fades into the mean of the service.
func (s *server) slowness(svc *service, now time.Time) float64 {
	if s.figureAt.IsZero() {
		return svc.slowness
	}
	weight := math.Exp(-float64(now.Sub(s.figureAt)) / float64(slownessLife))
	return weight*s.figure.Slowness + (1-weight)*svc.slowness
}

func (s *server) failureShare(now time.Time) float64 {
	if s.failure == 0 {
		return 0
	}
	return s.failure * math.Exp(-float64(now.Sub(s.failureAt))/float64(failureLife))
}

// note takes the end of a request of any VM.
func (s *server) note(o Outcome, now time.Time) {
	switch o {
	case Full:
		s.fullUntil = now.Add(fullPause)
		return
	case Misdirected:
		s.misdirected = true
		return
	case Abandoned:
		return
	case Unreachable:
		pause := awayMax
		if s.awayCount < 4 {
			pause = awayPause << s.awayCount
		}
		s.awayCount++
		s.awayUntil = now.Add(pause)
	case Answered:
		s.awayCount, s.awayUntil = 0, time.Time{}
	}
	failed := 1.0
	if o == Answered {
		failed = 0
	}
	share := s.failureShare(now)
	s.failure, s.failureAt = share+(failed-share)*failureWeight, now
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
