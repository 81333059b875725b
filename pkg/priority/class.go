// Package priority defines the priority classes of calls and a scheduler that shares a resource among them.
package priority

import "github.com/cockroachdb/errors"

// Class is the priority class of a call. A lower value is more urgent.
type Class uint8

// The priority classes, most urgent first.
const (
	// Interactive calls are small reads that are sensitive to tail latency.
	Interactive Class = iota
	// Transactional calls change state and must be run at most once.
	Transactional
	// Bulk calls retrieve large bodies. They tolerate waiting but must complete.
	Bulk

	// NumClasses is the number of priority classes.
	NumClasses = 3
)

// ErrUnknownClass is returned for a class name that does not exist.
var ErrUnknownClass = errors.New("unknown priority class")

var classNames = [NumClasses]string{"interactive", "transactional", "bulk"}

// Classes returns all classes, most urgent first.
func Classes() [NumClasses]Class { return [NumClasses]Class{Interactive, Transactional, Bulk} }

// String returns the class name used in settings, metrics and logs, or "invalid" for an undefined class.
func (c Class) String() string {
	if int(c) < len(classNames) {
		return classNames[c]
	}
	return "invalid"
}

// ParseClass returns the class with the given name, or ErrUnknownClass.
func ParseClass(name string) (Class, error) {
	for i, n := range classNames {
		if n == name {
			return Class(i), nil
		}
	}
	return 0, errors.Wrapf(ErrUnknownClass, "%q", name)
}

// MarshalText implements encoding.TextMarshaler.
func (c Class) MarshalText() ([]byte, error) { return []byte(c.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (c *Class) UnmarshalText(text []byte) error {
	parsed, err := ParseClass(string(text))
	if err != nil {
		return err
	}
	*c = parsed
	return nil
}
