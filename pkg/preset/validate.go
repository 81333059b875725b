package preset

import (
	"fmt"
	"regexp"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hornbeamway/hornbeamway/pkg/priority"
	"github.com/hornbeamway/hornbeamway/pkg/unit"
)

// Limits of values in a preset.
const (
	maxVetoPeriod = 7 * 24 * time.Hour
	maxEntryVMs   = 1000
	maxServices   = 1000
	maxRoutes     = 10000
	maxSlots      = 10000
	maxLimit      = 1000000
	// maxOperationTimeout limits the timeout of a non-idempotent call, because a delayed write by a VM that was paused must
	// end within the operation memory.
	maxOperationTimeout = 30 * time.Second
	// minOperationMemory ensures that a key is kept for longer than any operation can take.
	minOperationMemory = 2 * maxOperationTimeout
	maxDuration        = 365 * 24 * time.Hour
)

// shareTolerance allows for floating-point rounding in the sum of shares.
const shareTolerance = 1e-9

var (
	namePattern   = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)
	methodPattern = regexp.MustCompile(`^[A-Z]{1,16}$`)
)

// ContentError reports an invalid field of a preset, for example "routes[2].path". It matches ErrInvalidContent.
type ContentError struct {
	Field, Reason string
}

// Error implements error.
func (e *ContentError) Error() string { return e.Field + ": " + e.Reason }

func invalid(field, format string, args ...any) error {
	return errors.Mark(&ContentError{Field: field, Reason: fmt.Sprintf(format, args...)}, ErrInvalidContent)
}

// indexed returns the path of an element of a list, for example "routes[2]".
func indexed(list string, i int) string { return fmt.Sprintf("%s[%d]", list, i) }

func (c *Content) validate() error {
	return errors.Mark(firstError(
		checkName("name", c.Name),
		checkDuration("vetoPeriod", c.VetoPeriod, 0, maxVetoPeriod),
		checkInt("entryVMs", c.EntryVMs, 1, maxEntryVMs),
		c.checkServices(),
		c.checkRoutes(),
		checkShares("shares", c.Shares),
		checkInt("link.capacity", int(c.Link.Capacity), 1, 1<<50),
		checkShares("link.shares", c.Link.Shares),
		checkDuration("operationMemory", c.OperationMemory, minOperationMemory, maxDuration),
	), ErrInvalidContent)
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

func (c *Content) checkServices() error {
	if len(c.Services) == 0 || len(c.Services) > maxServices {
		return invalid("services", "want 1 to %d services", maxServices)
	}
	seen := map[string]bool{}
	for i := range c.Services {
		s, field := &c.Services[i], indexed("services", i)
		if seen[s.Name] {
			return invalid(field+".name", "duplicate service %q", s.Name)
		}
		seen[s.Name] = true
		if err := s.check(field); err != nil {
			return err
		}
	}
	return nil
}

func (s *Service) check(field string) error {
	if err := firstError(
		checkName(field+".name", s.Name),
		checkInt(field+".slots", s.Slots, 1, maxSlots),
		checkInt(field+".connectionLimit", s.ConnectionLimit, s.Slots, maxLimit),
		checkDuration(field+".connectCost", s.ConnectCost, 0, time.Minute),
		checkDuration(field+".probeCost", s.ProbeCost, 0, time.Minute),
	); err != nil {
		return err
	}
	for _, class := range priority.Classes() {
		o, ok := s.Objectives[class]
		if !ok {
			continue
		}
		if err := o.check(fmt.Sprintf("%s.objectives.%s", field, class)); err != nil {
			return err
		}
	}
	return nil
}

func (o Objective) check(field string) error {
	if !(o.Target > 0 && o.Target < 1) {
		return invalid(field+".target", "%v is not between 0 and 1", o.Target)
	}
	return firstError(
		checkDuration(field+".latency", o.Latency, time.Microsecond, maxDuration),
		checkDuration(field+".window", o.Window, time.Minute, maxDuration),
	)
}

func (c *Content) checkRoutes() error {
	if len(c.Routes) == 0 || len(c.Routes) > maxRoutes {
		return invalid("routes", "want 1 to %d routes", maxRoutes)
	}
	services, seen := map[string]bool{}, map[string]int{}
	for i := range c.Services {
		services[c.Services[i].Name] = true
	}
	for i := range c.Routes {
		r, field := &c.Routes[i], indexed("routes", i)
		if !services[r.Service] {
			return invalid(field+".service", "no service is named %q", r.Service)
		}
		if err := r.check(field); err != nil {
			return err
		}
		for _, key := range r.keys() {
			if other, taken := seen[key]; taken {
				return invalid(field, "duplicates %s (same path and method)", indexed("routes", other))
			}
			seen[key] = i
		}
	}
	return nil
}

// keys returns a unique string for each pair of method and path.
func (r *Route) keys() []string {
	if len(r.Methods) == 0 {
		return []string{"* " + r.Path}
	}
	keys := make([]string, len(r.Methods))
	for i, m := range r.Methods {
		keys[i] = m + " " + r.Path
	}
	return keys
}

func (r *Route) check(field string) error {
	if fault := pathProblem(r.Path); fault != "" {
		return invalid(field+".path", "%q %s", r.Path, fault)
	}
	for _, m := range r.Methods {
		if !methodPattern.MatchString(m) {
			return invalid(field+".methods", "%q is not a method in capitals", m)
		}
	}
	maxTimeout := maxDuration
	if !r.Idempotent {
		maxTimeout = maxOperationTimeout
	}
	if r.Hedge && !r.Idempotent {
		return invalid(field+".hedge", "a route that is not idempotent cannot be hedged")
	}
	if r.MaxBody < 0 {
		return invalid(field+".maxBody", "must not be negative")
	}
	return checkDuration(field+".timeout", r.Timeout, time.Millisecond, maxTimeout)
}

// pathProblem returns the reason why a route path is not valid, or an empty string.
func pathProblem(path string) string {
	switch {
	case !strings.HasPrefix(path, "/"):
		return "does not start with a slash"
	case len(path) > 1 && strings.HasSuffix(path, "/"):
		return "ends with a slash"
	case strings.Contains(path, "//"):
		return "has an empty segment"
	case strings.ContainsAny(path, "?#% \t\r\n"):
		return "is not a plain path"
	case path == reservedPath || strings.HasPrefix(path, reservedPath+"/"):
		return "is reserved for hornbeamway"
	}
	return ""
}

// reservedPath is the path prefix that the entry VM serves itself.
const reservedPath = "/.well-known/hornbeamway"

func checkName(field, name string) error {
	if !namePattern.MatchString(name) {
		return invalid(field, "%q is not a name of lower-case letters, digits and hyphens", name)
	}
	return nil
}

func checkInt(field string, value, low, high int) error {
	if value < low || value > high {
		return invalid(field, "%d is not between %d and %d", value, low, high)
	}
	return nil
}

func checkDuration(field string, value unit.Duration, low, high time.Duration) error {
	if value.Std() < low || value.Std() > high {
		return invalid(field, "%v is not between %v and %v", value.Std(), low, high)
	}
	return nil
}

func checkShares(field string, s Shares) error {
	sum := 0.0
	for class, share := range s.ByClass() {
		if !(share >= 0 && share <= 1) {
			return invalid(fmt.Sprintf("%s.%s", field, priority.Class(class)), "%v is not between 0 and 1", share)
		}
		sum += share
	}
	if sum > 1+shareTolerance {
		return invalid(field, "sum of shares %v is above 1", sum)
	}
	return nil
}
