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

// Kinds of violations, as printed in the report.
const (
	violationRunTwice           = "operation run twice"
	violationWrongResponse      = "response corrupted or of another request"
	violationFalseNotRun        = "reported not_run but ran"
	violationAnsweredNotRun     = "answered without a run"
	violationDifferentResponses = "repeat got another response"
	violationVersionReverted    = "configuration went back"
	violationStaleVersion       = "old configuration in force too long"
	violationVersionConflict    = "one version, two contents"
	violationVetoedInForce      = "vetoed change in force"
	violationSameBaseInForce    = "two changes on one base in force"
	violationStopFailed         = "planned stop not graceful"
	violationStopCutRequest     = "request cut off by a planned stop"
	violationNotRecovered       = "not recovered"
)

// violationKinds lists the kinds of violations in the order of the report.
var violationKinds = []string{violationRunTwice, violationWrongResponse, violationFalseNotRun, violationAnsweredNotRun,
	violationDifferentResponses, violationVersionReverted, violationStaleVersion, violationVersionConflict, violationVetoedInForce,
	violationSameBaseInForce, violationStopFailed, violationStopCutRequest, violationNotRecovered}

// maxEvidence limits the violations of one kind that are printed in full.
const maxEvidence = 5

// checkAll compares the requests and responses of the callers with the journals of the backend servers and prints the report.
func (h *harness) checkAll() error {
	executions, err := h.cluster.Journals()
	if err != nil {
		return err
	}
	for _, rec := range h.records.operations {
		h.violations = append(h.violations, checkOperation(rec, executions.ByKey[rec.key])...)
	}
	for _, rec := range h.records.reads {
		h.violations = append(h.violations, checkResponses(rec)...)
	}
	for _, rec := range append(slices.Clone(h.records.operations), h.records.reads...) {
		h.checkPlannedStops(rec)
	}
	h.checkProposals()
	return h.report(executions)
}

// checkOperation checks one operation against its executions.
func checkOperation(rec *requestRecord, executions []cluster.Execution) []violation {
	found := checkResponses(rec)
	add := func(kind, format string, args ...any) {
		found = append(found, violation{kind, fmt.Sprintf(format, args...) + "\n" + formatEvidence(rec, executions)})
	}
	if len(executions) > 1 {
		add(violationRunTwice, "key %s ran %d times", rec.key, len(executions))
	}
	responses := map[string]bool{}
	for _, a := range rec.Attempts {
		if a.Outcome == load.Answered {
			responses[a.AnsweredBy] = true
			if len(executions) == 0 {
				add(violationAnsweredNotRun, "attempt %s was answered, but no run is in a journal", a.ID)
			}
		}
		if reason := contradictedNotRun(rec, a, executions); reason != "" {
			add(violationFalseNotRun, "attempt %s: %s", a.ID, reason)
		}
	}
	if len(responses) > 1 {
		add(violationDifferentResponses, "responses %v", responses)
	}
	return found
}

// contradictedNotRun returns how the executions contradict a not_run outcome that the caller received, or an empty string if
// they do not. An execution of an attempt that the caller sent later, or whose response it was still waiting for, does not
// contradict the outcome: the caller is aware of that attempt.
func contradictedNotRun(rec *requestRecord, reported attempt, executions []cluster.Execution) string {
	for _, execution := range executions {
		if reported.OwnOutcome == load.NotRun && execution.RequestID == reported.ID {
			return "the response reported this attempt as not run, but it ran"
		}
		i := slices.IndexFunc(rec.Attempts, func(a attempt) bool { return a.ID == execution.RequestID })
		if reported.Outcome != load.NotRun || i < 0 {
			continue
		}
		if execution.StartedAtMs < reported.Sent.UnixMilli() {
			return "the response reported not_run for all attempts, but one had run before"
		}
		if rec.Attempts[i].Ended.Before(reported.Sent) {
			return "the response reported not_run for all attempts, but an earlier one that the caller had given up ran afterwards"
		}
	}
	return ""
}

// checkResponses checks the responses to a request without the journals.
func checkResponses(rec *requestRecord) []violation {
	var found []violation
	for _, a := range rec.Attempts {
		if a.Outcome == load.Wrong {
			found = append(found, violation{violationWrongResponse, a.Detail + "\n" + formatEvidence(rec, nil)})
		}
	}
	return found
}

// checkPlannedStops finds requests that were cut off by a planned stop of the entry VM to which they were sent.
func (h *harness) checkPlannedStops(rec *requestRecord) {
	for _, a := range rec.Attempts {
		for _, stop := range h.stops {
			// A broken body does not count: it can also result from a backend server that truncates its responses as a fault.
			if a.VM == stop.vm && a.connectionBroken && !a.bodyBroken && a.Ended.After(stop.start) && a.Ended.Before(stop.end) {
				h.violations = append(h.violations, violation{violationStopCutRequest,
					fmt.Sprintf("%s received the stop signal at %s\n%s", stop.vm, h.elapsed(stop.start), formatEvidence(rec, nil))})
			}
		}
	}
}

// checkProposals finds vetoed proposals whose content was in force, and proposals on the same base of which two were in force.
func (h *harness) checkProposals() {
	inForceByBase := map[int64]*proposal{}
	for mark, p := range h.proposals.byMark {
		report, inForce := h.configReports.markReports[mark]
		if !inForce {
			continue
		}
		if p.vetoed {
			h.addViolation(violationVetoedInForce, "proposal %s was vetoed, but its content was in force: %s", p.id, report)
		}
		if other := inForceByBase[p.base]; other != nil {
			h.addViolation(violationSameBaseInForce, "proposals %s and %s on base %d: %s; %s",
				p.id, other.id, p.base, report, h.configReports.markReports[other.mark])
		}
		inForceByBase[p.base] = p
	}
}

// formatEvidence formats the attempts and executions of a request.
func formatEvidence(rec *requestRecord, executions []cluster.Execution) string {
	var b strings.Builder
	fmt.Fprintf(&b, "    %s %s key %.40s\n", rec.method, rec.path, rec.key)
	for _, a := range rec.Attempts {
		fmt.Fprintf(&b, "    attempt %s through %s sent %s ended %s: %s (attempt %s) status %d %s %s %s\n", a.ID, a.VM,
			clockTime(a.Sent), clockTime(a.Ended), a.Outcome, a.OwnOutcome, a.Status, a.Reason, a.AnsweredBy, a.Detail)
	}
	for _, execution := range executions {
		fmt.Fprintf(&b, "    run on %s of attempt %s started %s finished %s completed %v\n", execution.Server, execution.RequestID,
			clockTime(time.UnixMilli(execution.StartedAtMs)), clockTime(time.UnixMilli(execution.FinishedAtMs)), execution.Completed)
	}
	return strings.TrimRight(b.String(), "\n")
}

func clockTime(t time.Time) string { return t.Format("15:04:05.000") }

// report prints the timeline and the violations, if there are violations, and then the shares and the counts.
func (h *harness) report(executions *cluster.Executions) error {
	byKind := map[string][]violation{}
	for _, v := range h.violations {
		byKind[v.kind] = append(byKind[v.kind], v)
	}
	if len(h.violations) > 0 {
		h.printf("load began at %s; timeline:\n", clockTime(h.startedAt))
		sort.Strings(h.timeline)
		for _, line := range h.timeline {
			h.printf("  %s\n", line)
		}
		for _, kind := range violationKinds {
			for _, v := range byKind[kind][:min(len(byKind[kind]), maxEvidence)] {
				h.printf("VIOLATION (%s): %s\n", kind, v.evidence)
			}
		}
	}
	h.printShares()
	h.printf("changes proposed %d, versions seen %d, planned stops %d, operations run %d\n",
		len(h.proposals.byMark), len(h.configReports.firstReported), len(h.stops), len(executions.ByKey))
	for _, kind := range violationKinds {
		h.printf("%-42s %d\n", kind, len(byKind[kind]))
	}
	if len(h.violations) > 0 {
		return errors.Wrapf(ErrViolation, "%d times; seed %d", len(h.violations), h.Seed)
	}
	return nil
}

// printShares prints the share of answered requests of each class.
func (h *harness) printShares() {
	h.printf("%-22s %9s %15s %10s  %s\n", "class", "requests", "first attempt", "answered", "last outcomes of the others")
	h.printShare("interactive", h.records.reads, func(rec *requestRecord) bool { return rec.class == priority.Interactive })
	h.printShare("bulk", h.records.reads, func(rec *requestRecord) bool { return rec.class == priority.Bulk })
	h.printShare("transactional own key", h.records.operations, func(rec *requestRecord) bool { return !rec.ticket })
	h.printShare("transactional ticket", h.records.operations, func(rec *requestRecord) bool { return rec.ticket })
}

func (h *harness) printShare(name string, all []*requestRecord, match func(*requestRecord) bool) {
	var total, first, answered int
	lastOutcomes, attemptOutcomes := map[string]int{}, map[string]int{}
	for _, rec := range all {
		if !match(rec) || len(rec.Attempts) == 0 {
			continue
		}
		total++
		for _, a := range rec.Attempts {
			attemptOutcomes[a.summary()]++
		}
		if rec.Attempts[0].Outcome == load.Answered {
			first++
		}
		if slices.ContainsFunc(rec.Attempts, func(a attempt) bool { return a.Outcome == load.Answered }) {
			answered++
		} else {
			lastOutcomes[rec.Attempts[len(rec.Attempts)-1].summary()]++
		}
	}
	percent := func(n int) float64 { return 100 * float64(n) / float64(max(total, 1)) }
	h.printf("%-22s %9d %14.2f%% %9.2f%%  %v\n", name, total, percent(first), percent(answered), lastOutcomes)
	h.printf("    all attempts: %v\n", attemptOutcomes)
}

// summary returns the outcome and the reason of an attempt; for the reason not_ready also the last part of the detail text.
func (a *attempt) summary() string {
	detail := ""
	if i := strings.LastIndex(a.Detail, ": "); i >= 0 && a.Reason == string(problem.ReasonNotReady) {
		detail = a.Detail[i+2:]
	}
	return strings.Join(strings.Fields(string(a.Outcome)+" "+a.Reason+" "+detail), " ")
}
