// Package jsonlist decodes JSON arrays from other processes and limits the number of their elements. A limit on the size of the text
// is not enough, because elements take more memory decoded than as text: "{}," is 3 bytes and the struct that it decodes to may have
// hundreds.
package jsonlist

import (
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"
)

// ErrTooLong reports an array with more elements than the limit.
var ErrTooLong = errors.New("too many elements")

// Decode decodes an array of at most limit elements, or null, which has to end with r. It returns ErrTooLong without decoding the rest of
// a longer one.
func Decode[T any](r io.Reader, limit int) ([]T, error) {
	d := json.NewDecoder(r)
	start, err := d.Token()
	switch {
	case err != nil:
		return nil, err
	case start == nil:
		return nil, expectEnd(d)
	case start != json.Delim('['):
		return nil, errors.Newf("%v is not an array", start)
	}
	var list []T
	for d.More() {
		if len(list) == limit {
			return nil, errors.Wrapf(ErrTooLong, "limit %d", limit)
		}
		var element T
		if err := d.Decode(&element); err != nil {
			return nil, err
		}
		list = append(list, element)
	}
	if _, err := d.Token(); err != nil {
		return nil, err
	}
	return list, expectEnd(d)
}

// expectEnd returns an error if anything follows the value.
func expectEnd(d *json.Decoder) error {
	switch _, err := d.Token(); {
	case err == nil:
		return errors.New("text after the array")
	case !errors.Is(err, io.EOF):
		return err
	}
	return nil
}
