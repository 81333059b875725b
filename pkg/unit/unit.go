// Package unit defines types for settings that are written with a unit: durations, sizes and bit rates.
package unit

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/dustin/go-humanize"
)

// ParseError reports a value that is out of range or has no valid unit. Text is the value as written. Want describes the
// expected form with an example.
type ParseError struct {
	Text string
	Want string
}

// Error implements error.
func (e *ParseError) Error() string { return fmt.Sprintf("%q is not %s", e.Text, e.Want) }

// Duration is a non-negative duration written with a unit, for example "250ms".
type Duration time.Duration

// Std returns the value as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalJSON implements json.Unmarshaler. It accepts strings only, so that a unit is always given.
func (d *Duration) UnmarshalJSON(data []byte) error {
	const want = `a duration with a unit, for example "250ms"`
	text, err := unquote(data, want)
	if err != nil {
		return err
	}
	parsed, err := time.ParseDuration(text)
	if err != nil || parsed < 0 {
		return &ParseError{Text: text, Want: want}
	}
	*d = Duration(parsed)
	return nil
}

// Size is a number of bytes written with a unit, for example "64KiB".
type Size int64

// MarshalText implements encoding.TextMarshaler.
func (s Size) MarshalText() ([]byte, error) { return []byte(fmt.Sprintf("%dB", int64(s))), nil }

// UnmarshalJSON implements json.Unmarshaler. It accepts strings only, so that a unit is always given.
func (s *Size) UnmarshalJSON(data []byte) error {
	const want = `a size with a unit, for example "64KiB"`
	text, err := unquote(data, want)
	if err != nil {
		return err
	}
	parsed, err := humanize.ParseBytes(text)
	if err != nil || !hasUnit(text) || parsed > 1<<62 {
		return &ParseError{Text: text, Want: want}
	}
	*s = Size(parsed)
	return nil
}

// BitRate is a rate in bits per second written with a unit, for example "30Mbit/s".
type BitRate int64

// bitRateSuffix is the unit at the end of every bit rate. An SI prefix may precede it.
const bitRateSuffix = "bit/s"

// BytesPerSecond returns the rate in bytes per second.
func (r BitRate) BytesPerSecond() float64 { return float64(r) / 8 }

// MarshalText implements encoding.TextMarshaler.
func (r BitRate) MarshalText() ([]byte, error) {
	return []byte(fmt.Sprintf("%d%s", int64(r), bitRateSuffix)), nil
}

// UnmarshalJSON implements json.Unmarshaler. It accepts strings only, so that a unit is always given.
func (r *BitRate) UnmarshalJSON(data []byte) error {
	const want = `a bit rate with a unit, for example "30Mbit/s"`
	text, err := unquote(data, want)
	if err != nil {
		return err
	}
	value, _, err := humanize.ParseSI(strings.TrimSuffix(text, bitRateSuffix) + "b")
	if err != nil || value < 0 || !strings.HasSuffix(text, bitRateSuffix) {
		return &ParseError{Text: text, Want: want}
	}
	*r = BitRate(value)
	return nil
}

// unquote decodes a JSON string. want describes the expected form for the error.
func unquote(data []byte, want string) (string, error) {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return "", &ParseError{Text: string(data), Want: want}
	}
	return text, nil
}

func hasUnit(text string) bool {
	return strings.HasSuffix(strings.ToUpper(text), "B")
}
