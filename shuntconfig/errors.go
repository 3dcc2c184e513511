package shuntconfig

import (
	"fmt"
	"strings"
)

const (
	maxNameBytes       = 100
	maxShownValueBytes = 60
	maxAddressBytes    = 255
	namePunctuation    = "-_."
	shownValueSuffix   = "..."
)

// FieldError reports an invalid value in a document or settings file.
type FieldError struct {
	// Key is the key of the document, or the name of the file.
	Key   Key
	Field string
	Value string
	// Problem follows the value in the message, such as "is empty".
	Problem string
}

// Error implements error. It shortens long values.
func (e *FieldError) Error() string {
	v := e.Value
	if len(v) > maxShownValueBytes {
		v = v[:maxShownValueBytes] + shownValueSuffix
	}
	return fmt.Sprintf("%s: %s: %q %s", e.Key, e.Field, v, e.Problem)
}

func checkName(k Key, field, name string) error {
	if name == "" {
		return &FieldError{k, field, name, "is empty"}
	}
	if len(name) > maxNameBytes {
		return &FieldError{k, field, name, fmt.Sprintf("is longer than %d bytes", maxNameBytes)}
	}
	for _, r := range name {
		if !isNameRune(r) {
			return &FieldError{k, field, name, "has a character outside letters, digits, '-', '_' and '.'"}
		}
	}
	return nil
}

func isNameRune(r rune) bool {
	switch {
	case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9':
		return true
	}
	return strings.ContainsRune(namePunctuation, r)
}

func checkRange(k Key, field string, v, lo, hi int64) error {
	if v < lo || v > hi {
		return &FieldError{k, field, fmt.Sprint(v), fmt.Sprintf("is not between %d and %d", lo, hi)}
	}
	return nil
}

// checkFraction returns a FieldError unless v lies between lo and hi. NaN fails
// the check.
func checkFraction(k Key, field string, v, lo, hi float64) error {
	if !(v >= lo && v <= hi) {
		return &FieldError{k, field, fmt.Sprint(v), fmt.Sprintf("is not between %g and %g", lo, hi)}
	}
	return nil
}
