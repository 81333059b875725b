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

// Bounds of values in a preset.
const (
	maxVetoPeriod = 7 * 24 * time.Hour
	maxEntryVMs   = 1000
	maxServices   = 1000
	maxRoutes     = 10000
	maxSlots      = 10000
	maxLimit      = 1000000
	// maxOperationTimeout bounds a non-idempotent call: a late write of a paused VM must end within the memory window.
	maxOperationTimeout = 30 * time.Second
	// minOperationMemory keeps a key for longer than any operation can take.
	minOperationMemory = 2 * maxOperationTimeout
	maxDuration        = 365 * 24 * time.Hour
)

// shareTolerance allows for the rounding of decimal fractions when shares are added.
const shareTolerance = 1e-9

var (
	namePattern   = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)
	methodPattern = regexp.MustCompile(`^[A-Z]{1,16}$`)
)

// ContentError is a fault at a place of a preset, for example at "routes[2].path". It matches ErrInvalidContent.
type ContentError struct {
	Place, Reason string
}

// Error implements error.
func (e *ContentError) Error() string { return e.Place + ": " + e.Reason }

func invalid(place, format string, args ...any) error {
	return errors.Mark(&ContentError{Place: place, Reason: fmt.Sprintf(format, args...)}, ErrInvalidContent)
}

func at(list string, i int) string { return fmt.Sprintf("%s[%d]", list, i) }

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
		s, place := &c.Services[i], at("services", i)
		if seen[s.Name] {
			return invalid(place+".name", "duplicate service %q", s.Name)
		}
		seen[s.Name] = true
		if err := s.check(place); err != nil {
			return err
		}
	}
	return nil
}

func (s *Service) check(place string) error {
	if err := firstError(
		checkName(place+".name", s.Name),
		checkInt(place+".slots", s.Slots, 1, maxSlots),
		checkInt(place+".connectionLimit", s.ConnectionLimit, s.Slots, maxLimit),
		checkDuration(place+".connectCost", s.ConnectCost, 0, time.Minute),
		checkDuration(place+".probeCost", s.ProbeCost, 0, time.Minute),
	); err != nil {
		return err
	}
	for _, class := range priority.Classes() {
		o, ok := s.Objectives[class]
		if !ok {
			continue
		}
		if err := o.check(fmt.Sprintf("%s.objectives.%s", place, class)); err != nil {
			return err
		}
	}
	return nil
}

func (o Objective) check(place string) error {
	if !(o.Target > 0 && o.Target < 1) {
		return invalid(place+".target", "%v is not between 0 and 1", o.Target)
	}
	return firstError(
		checkDuration(place+".latency", o.Latency, time.Microsecond, maxDuration),
		checkDuration(place+".window", o.Window, time.Minute, maxDuration),
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
		r, place := &c.Routes[i], at("routes", i)
		if !services[r.Service] {
			return invalid(place+".service", "no service is named %q", r.Service)
		}
		if err := r.check(place); err != nil {
			return err
		}
		for _, key := range r.keys() {
			if other, taken := seen[key]; taken {
				return invalid(place, "duplicates %s (same path and method)", at("routes", other))
			}
			seen[key] = i
		}
	}
	return nil
}

// keys returns one text for each pair of path and method.
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

func (r *Route) check(place string) error {
	if fault := pathFault(r.Path); fault != "" {
		return invalid(place+".path", "%q %s", r.Path, fault)
	}
	for _, m := range r.Methods {
		if !methodPattern.MatchString(m) {
			return invalid(place+".methods", "%q is not a method in capitals", m)
		}
	}
	maxTimeout := maxDuration
	if !r.Idempotent {
		maxTimeout = maxOperationTimeout
	}
	if r.Hedge && !r.Idempotent {
		return invalid(place+".hedge", "a route that is not idempotent cannot be hedged")
	}
	if r.MaxBody < 0 {
		return invalid(place+".maxBody", "must not be negative")
	}
	return checkDuration(place+".timeout", r.Timeout, time.Millisecond, maxTimeout)
}

func pathFault(path string) string {
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

// reservedPath is served by the entry VM itself.
const reservedPath = "/.well-known/hornbeamway"

func checkName(place, name string) error {
	if !namePattern.MatchString(name) {
		return invalid(place, "%q is not a name of lower-case letters, digits and hyphens", name)
	}
	return nil
}

func checkInt(place string, value, low, high int) error {
	if value < low || value > high {
		return invalid(place, "%d is not between %d and %d", value, low, high)
	}
	return nil
}

func checkDuration(place string, value unit.Duration, low, high time.Duration) error {
	if value.Std() < low || value.Std() > high {
		return invalid(place, "%v is not between %v and %v", value.Std(), low, high)
	}
	return nil
}

func checkShares(place string, s Shares) error {
	sum := 0.0
	for class, share := range s.ByClass() {
		if !(share >= 0 && share <= 1) {
			return invalid(fmt.Sprintf("%s.%s", place, priority.Class(class)), "%v is not between 0 and 1", share)
		}
		sum += share
	}
	if sum > 1+shareTolerance {
		return invalid(place, "sum of shares %v is above 1", sum)
	}
	return nil
}
