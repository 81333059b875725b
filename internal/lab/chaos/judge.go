package chaos

import (
	"fmt"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hornbeamway/hornbeamway/internal/lab/cluster"
	"github.com/hornbeamway/hornbeamway/internal/lab/load"
	"github.com/hornbeamway/hornbeamway/pkg/priority"
	"github.com/hornbeamway/hornbeamway/pkg/problem"
)

// The kinds of broken promises.
const (
	kindTwice        = "operation run twice"
	kindWrong        = "answer to the wrong caller or damaged"
	kindNotRun       = "told not_run but ran"
	kindNoRun        = "answered without a run"
	kindRepeat       = "repeat got another answer"
	kindRevert       = "configuration went back"
	kindStale        = "old configuration in force too long"
	kindTwoPresets   = "one version, two contents"
	kindVetoed       = "vetoed change in force"
	kindBothWon      = "two changes on one base in force"
	kindStop         = "planned stop not graceful"
	kindCut          = "request cut off by a planned stop"
	kindNotRecovered = "not recovered"
)

// allKinds are the kinds of broken promises in the order of the report.
var allKinds = []string{kindTwice, kindWrong, kindNotRun, kindNoRun, kindRepeat, kindRevert, kindStale, kindTwoPresets, kindVetoed,
	kindBothWon, kindStop, kindCut, kindNotRecovered}

// maxEvidence bounds the violations of one kind that are printed in full.
const maxEvidence = 5

// judge compares what the callers saw with the journals and prints the report.
func (r *run) judge() error {
	runs, err := r.cluster.Journals()
	if err != nil {
		return err
	}
	for _, o := range r.book.orders {
		r.violations = append(r.violations, judgeOrder(o, runs.ByKey[o.key])...)
	}
	for _, o := range r.book.reads {
		r.violations = append(r.violations, judgeAnswers(o)...)
	}
	for _, o := range append(slices.Clone(r.book.orders), r.book.reads...) {
		r.judgeStops(o)
	}
	r.judgeChanges()
	return r.report(runs)
}

// judgeOrder checks one operation against its runs.
func judgeOrder(o *order, runs []cluster.Run) []violation {
	found := judgeAnswers(o)
	add := func(kind, format string, args ...any) {
		found = append(found, violation{kind, fmt.Sprintf(format, args...) + "\n" + evidence(o, runs)})
	}
	if len(runs) > 1 {
		add(kindTwice, "key %s ran %d times", o.key, len(runs))
	}
	answers := map[string]bool{}
	for _, a := range o.Attempts {
		if a.Outcome == load.Answered {
			answers[a.Answer] = true
			if len(runs) == 0 {
				add(kindNoRun, "attempt %s was answered", a.ID)
			}
		}
		if why := falseNotRun(o, a, runs); why != "" {
			add(kindNotRun, "attempt %s: %s", a.ID, why)
		}
	}
	if len(answers) > 1 {
		add(kindRepeat, "answers %v", answers)
	}
	return found
}

// falseNotRun returns why a not_run that was told is false; empty if it is true. A run of an attempt that the caller sent
// later, or still waited for, does not contradict it: the caller knows of that attempt.
func falseNotRun(o *order, told attempt, runs []cluster.Run) string {
	for _, run := range runs {
		if told.Own == load.NotRun && run.RequestID == told.ID {
			return "told that this attempt was not run, but it ran"
		}
		i := slices.IndexFunc(o.Attempts, func(a attempt) bool { return a.ID == run.RequestID })
		if told.Outcome != load.NotRun || i < 0 {
			continue
		}
		if run.StartedAtMs < told.Sent.UnixMilli() {
			return "told not_run for all attempts, but one had run before"
		}
		if o.Attempts[i].Ended.Before(told.Sent) {
			return "told not_run for all attempts, but an earlier one that the caller had given up ran afterwards"
		}
	}
	return ""
}

// judgeAnswers checks the answers of a request by themselves.
func judgeAnswers(o *order) []violation {
	var found []violation
	for _, a := range o.Attempts {
		if a.Outcome == load.Wrong {
			found = append(found, violation{kindWrong, a.Detail + "\n" + evidence(o, nil)})
		}
	}
	return found
}

// judgeStops finds requests that were cut off by a planned stop of the entry VM to which they were sent.
func (r *run) judgeStops(o *order) {
	for _, a := range o.Attempts {
		for _, stop := range r.stops {
			// A body can also break because the backend server's did, which truncates on purpose.
			if a.VM == stop.vm && a.torn && !a.body && a.Ended.After(stop.from) && a.Ended.Before(stop.till) {
				r.violations = append(r.violations, violation{kindCut, fmt.Sprintf("%s was asked to stop at %s\n%s", stop.vm, r.stamp(stop.from), evidence(o, nil))})
			}
		}
	}
}

// judgeChanges finds vetoed changes in force, and two in force that were proposed on the same base.
func (r *run) judgeChanges() {
	won := map[int64]*change{}
	for mark, c := range r.changes.all {
		where, inForce := r.sightings.marks[mark]
		if !inForce {
			continue
		}
		if c.vetoed {
			r.breach(kindVetoed, "proposal %s was vetoed, but its content was in force: %s", c.id, where)
		}
		if other := won[c.base]; other != nil {
			r.breach(kindBothWon, "proposals %s and %s on base %d: %s; %s", c.id, other.id, c.base, where, r.sightings.marks[other.mark])
		}
		won[c.base] = c
	}
}

// evidence prints the attempts and runs of a request.
func evidence(o *order, runs []cluster.Run) string {
	var b strings.Builder
	fmt.Fprintf(&b, "    %s %s key %.40s\n", o.method, o.path, o.key)
	for _, a := range o.Attempts {
		fmt.Fprintf(&b, "    attempt %s over %s sent %s ended %s: %s (attempt %s) status %d %s %s %s\n", a.ID, a.VM,
			clockTime(a.Sent), clockTime(a.Ended), a.Outcome, a.Own, a.Status, a.Reason, a.Answer, a.Detail)
	}
	for _, run := range runs {
		fmt.Fprintf(&b, "    run on %s of attempt %s started %s finished %s completed %v\n", run.Server, run.RequestID,
			clockTime(time.UnixMilli(run.StartedAtMs)), clockTime(time.UnixMilli(run.FinishedAtMs)), run.Completed)
	}
	return strings.TrimRight(b.String(), "\n")
}

func clockTime(t time.Time) string { return t.Format("15:04:05.000") }

// report prints the timeline if a promise was broken, the counts and the shares.
func (r *run) report(runs *cluster.Runs) error {
	byKind := map[string][]violation{}
	for _, v := range r.violations {
		byKind[v.kind] = append(byKind[v.kind], v)
	}
	if len(r.violations) > 0 {
		r.printf("load began at %s; what happened:\n", clockTime(r.began))
		sort.Strings(r.timeline)
		for _, line := range r.timeline {
			r.printf("  %s\n", line)
		}
		for _, kind := range allKinds {
			for _, v := range byKind[kind][:min(len(byKind[kind]), maxEvidence)] {
				r.printf("VIOLATION (%s): %s\n", kind, v.evidence)
			}
		}
	}
	r.shares()
	r.printf("changes proposed %d, versions seen %d, planned stops %d, operations run %d\n",
		len(r.changes.all), len(r.sightings.first), len(r.stops), len(runs.ByKey))
	for _, kind := range allKinds {
		r.printf("%-42s %d\n", kind, len(byKind[kind]))
	}
	if len(r.violations) > 0 {
		return errors.Wrapf(ErrViolation, "%d times; seed %d", len(r.violations), r.Seed)
	}
	return nil
}

// shares prints what share of each class was answered.
func (r *run) shares() {
	r.printf("%-22s %9s %15s %10s  %s\n", "class", "requests", "first attempt", "answered", "last outcomes of the others")
	r.share("interactive", r.book.reads, func(o *order) bool { return o.class == priority.Interactive })
	r.share("bulk", r.book.reads, func(o *order) bool { return o.class == priority.Bulk })
	r.share("transactional own key", r.book.orders, func(o *order) bool { return !o.ticket })
	r.share("transactional ticket", r.book.orders, func(o *order) bool { return o.ticket })
}

func (r *run) share(name string, all []*order, match func(*order) bool) {
	var total, first, answered int
	others, attempts := map[string]int{}, map[string]int{}
	for _, o := range all {
		if !match(o) || len(o.Attempts) == 0 {
			continue
		}
		total++
		for _, a := range o.Attempts {
			attempts[a.summary()]++
		}
		if o.Attempts[0].Outcome == load.Answered {
			first++
		}
		if slices.ContainsFunc(o.Attempts, func(a attempt) bool { return a.Outcome == load.Answered }) {
			answered++
		} else {
			others[o.Attempts[len(o.Attempts)-1].summary()]++
		}
	}
	percent := func(n int) float64 { return 100 * float64(n) / float64(max(total, 1)) }
	r.printf("%-22s %9d %14.2f%% %9.2f%%  %v\n", name, total, percent(first), percent(answered), others)
	r.printf("    all attempts: %v\n", attempts)
}

// summary is the outcome of an attempt and the end of the reason for a refusal.
func (a *attempt) summary() string {
	detail := ""
	if i := strings.LastIndex(a.Detail, ": "); i >= 0 && a.Reason == string(problem.ReasonNotReady) {
		detail = a.Detail[i+2:]
	}
	return strings.Join(strings.Fields(string(a.Outcome)+" "+a.Reason+" "+detail), " ")
}
